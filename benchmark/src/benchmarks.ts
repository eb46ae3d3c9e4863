/** The benchmarks: importing one registers it. */
import './control-plane/index.js';
