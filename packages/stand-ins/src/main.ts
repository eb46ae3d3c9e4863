/** Starts one stand-in as a separate process: `main.js KIND [--options JSON] [--port N]`. */
import * as util from 'node:util';

import * as engine from './engine/engine.js';
import type * as serve from './http/serve.js';
import * as plain from './plain/plain.js';
import * as platform from './platform/platform.js';
import * as store from './store/store.js';

export type Kind = 'platform' | 'engine' | 'store' | 'plain';

function startKind(kind: string, options: object, port: number): Promise<serve.Server> {
  switch (kind as Kind) {
    case 'platform':
      return platform.start(port);
    case 'engine':
      return engine.start(options, port);
    case 'store':
      return store.start(options, port);
    case 'plain':
      return plain.start(options, port);
    default:
      throw new Error(`expected platform, engine, store or plain; found ${kind}`);
  }
}

const { values, positionals } = util.parseArgs({
  options: { options: { type: 'string', default: '{}' }, port: { type: 'string', default: '0' } },
  allowPositionals: true,
});
const given = JSON.parse(values.options) as object;
const server = await startKind(positionals[0] ?? '', given, Number(values.port));
process.stdout.write(`${JSON.stringify({ listening: server.address })}\n`);
