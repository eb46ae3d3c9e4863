/** Imports every benchmark; each module registers itself on import. */
import './canary/index.js';
import './control-plane/index.js';
import './cold-start/index.js';
import './data-centre-move/index.js';
import './kernel/index.js';
import './kept-context/index.js';
import './overhead/index.js';
import './dispatch/index.js';
