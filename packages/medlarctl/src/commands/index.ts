/** Imports the commands of `medlarctl`; each registers itself when it is imported. */
import './questionnaire.js';
import './apply.js';
import './get.js';
import './data-centre.js';
import './dump.js';
import './upstream.js';
import './history.js';
import './diff.js';
import './revert.js';
import './explain.js';
import './quarantine.js';
