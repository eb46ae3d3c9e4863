/* eslint-disable import-x/no-unresolved, @stylistic/max-len -- a script that runs step by step, formatted by Prettier */
/** The project's stand-in for the platform's store, which a case can bring back from an old copy. */
import http from 'node:http';

import * as standIns from '@medlarweir/stand-ins';

const say = (message) => process.stdout.write(`${JSON.stringify(message)}\n`);
const platform = await standIns.platform.start();
let restore = () => undefined;

const control = http.createServer((request, response) => {
  if (request.url === '/copy') restore = platform.copy();
  if (request.url === '/restore') restore();
  say({ did: request.url });
  response.end('{}');
});
control.listen(0, '127.0.0.1', () => {
  say({ control: `127.0.0.1:${control.address().port}` });
  say({ listening: platform.address });
});
