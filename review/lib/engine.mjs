/**
 * A small model replica as a process. It registers itself in the store with a heartbeat, reads
 * prompts one after the other at the rate of the sheet, keeps the parts that it has read, and
 * streams events. The head of an answer leaves when the request is admitted, the first event when
 * its prompt has been read.
 *
 * A prompt with the deadly part, if one is given, ends the process as its answer begins. Streams
 * that are unframed have neither a length nor chunks, and end with their connection.
 *
 * engine.mjs ID SERVICE STORE PORT COLD_MS [--deadly PART] [--unframed] [--events N]
 */
import * as http from 'node:http';
import * as util from 'node:util';

const { values, positionals } = util.parseArgs({
  options: {
    deadly: { type: 'string' },
    unframed: { type: 'boolean', default: false },
    events: { type: 'string', default: '20' },
  },
  allowPositionals: true,
});
const [id, service, store, port, coldMs] = positionals;
const { deadly: deadlyPart, unframed: isUnframed } = values;
/** Of the sheet: tokens that are read in a ms, the time to the first step, and that of a step. */
const TOKENS_PER_MS = 68.2;
const FIRST_MS = 36;
const STEP_MS = 6;
const EVENTS = Number(values.events);
const HEARTBEAT_MS = 1_200;

const born = Date.now();
const model = 'm0';
const kept = new Set();
const state = { readUntil: 0, seq: 0 };

function write(method, path, spec) {
  const [hostname, storePort] = store.split(':');
  const request = http.request(
    {
      hostname,
      port: storePort,
      method,
      path: `/-/objects/servers${path}`,
      agent: false,
    },
    (response) => {
      response.resume();
      if (method === 'POST' && response.statusCode === 409) write('PUT', `/${id}`, spec);
    },
  );
  request.on('error', () => undefined);
  request.end(JSON.stringify({ metadata: { name: id }, spec }));
}

function register() {
  state.seq += 1;
  write('POST', '', {
    service,
    address: `127.0.0.1:${port}`,
    zone: 'zone-1',
    version: 'v1',
    slots: 64,
    state: 'ready',
    coldRemainingMs: Math.max(0, born + Number(coldMs) - Date.now()),
    seq: state.seq,
    born,
    models: [{ name: model, version: 1, adapters: [] }],
  });
}

/** Tokens that are not kept; a part is kept once all parts before it are. */
function read(prefix, salt) {
  return prefix
    .split(',')
    .map((each) => each.split(':'))
    .reduce((sum, [part, tokens]) => {
      const key = `${salt} ${part}`;
      const isKept = kept.has(key);
      kept.add(key);
      return isKept ? sum : sum + Number(tokens);
    }, 0);
}

function answer(request, response) {
  const requestId = request.headers['x-medlarweir-request-id'];
  const own = { 'x-medlarweir-request-id': requestId };
  const wanted = request.headers['x-medlarweir-expect-instance'];
  if (wanted !== undefined && wanted !== id) {
    response.writeHead(421, own).end();
    return;
  }
  process.stdout.write(`${JSON.stringify({ ran: requestId })}\n`);
  const tokens = read(
    request.headers['x-medlarweir-prompt-prefix'] ?? '',
    request.headers['x-medlarweir-cache-salt'] ?? '',
  );
  state.readUntil = Math.max(state.readUntil, Date.now()) + tokens / TOKENS_PER_MS;
  response.useChunkedEncodingByDefault = !isUnframed;
  response.writeHead(200, {
    ...own,
    ...(isUnframed ? { connection: 'close' } : {}),
    'x-medlarweir-response-seal': `seal-${id}-${requestId}`,
    'x-medlarweir-weight-versions': '1',
    'x-medlarweir-server-load': '1,0,64',
    'content-type': 'text/event-stream',
  });
  response.flushHeaders();
  const prefix = request.headers['x-medlarweir-prompt-prefix'] ?? '';
  const isDeadly = deadlyPart !== undefined && prefix.includes(`${deadlyPart}:`);
  let sent = Number(request.headers['last-event-id'] ?? 0);
  const next = () => {
    if (response.destroyed) return;
    if (isDeadly) process.kill(process.pid, 'SIGKILL');
    if (sent >= EVENTS) {
      response.end();
      return;
    }
    sent += 1;
    response.write(`id: ${sent}\ndata: ${'x'.repeat(40)}\n\n`);
    setTimeout(next, STEP_MS);
  };
  setTimeout(next, state.readUntil - Date.now() + FIRST_MS);
}

const server = http.createServer((request, response) => {
  response.on('error', () => undefined);
  request.resume();
  request.on('end', () => {
    if (request.url === '/health') {
      const left = String(Math.max(0, born + Number(coldMs) - Date.now()));
      response.writeHead(200, { 'x-medlarweir-instance-id': id, 'x-medlarweir-cold-ms': left });
      response.end();
    } else if (request.url === '/-/report') {
      const models = [{ name: model, version: 1, adapters: [] }];
      response.end(
        JSON.stringify({
          stage: 'both',
          models,
          busy: false,
          seq: 0,
          born,
        }),
      );
    } else answer(request, response);
  });
});
server.keepAliveTimeout = 5_000;
server.listen(Number(port), '127.0.0.1', () => {
  register();
  setInterval(register, HEARTBEAT_MS);
  process.stdout.write('listening\n');
});
