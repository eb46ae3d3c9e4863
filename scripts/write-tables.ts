/** `npm run docs`: writes the generated documentation pages. */
import * as fs from 'node:fs';

import * as tables from './tables.js';

tables.PAGES.forEach(({ path, render }) => fs.writeFileSync(path, render()));
