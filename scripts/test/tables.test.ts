import * as fs from 'node:fs';

import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as tables from '../tables.js';

const suite = uvu.suite('generated pages');

tables.PAGES.forEach(({ path, render }) => {
  suite(`${path} equals the output of \`npm run docs\``, () => {
    assert.is(fs.readFileSync(path, 'utf8'), render());
  });
});

suite.run();
