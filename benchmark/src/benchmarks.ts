/** Imports every benchmark; each module registers itself on import. */
import './canary/index.js';
import './control-plane/index.js';
import './cold-start/index.js';
import './data-centre-move/index.js';
import './kernel/index.js';
import './kept-context/index.js';
import './overhead/index.js';
import './speed/index.js';
import './shares/index.js';
import './dispatch/index.js';
import './prompt-mix/index.js';
