/** The benchmarks: importing one registers it. */
import './dispatch/index.js';
import './kernel/index.js';
import './kept-context/index.js';
import './control-plane/index.js';
