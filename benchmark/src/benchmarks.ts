/** The benchmarks: importing one registers it. */
import './cold-start/index.js';
import './control-plane/index.js';
import './dispatch/index.js';
import './kept-context/index.js';
import './kernel/index.js';
