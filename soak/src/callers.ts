/** Callers that open connections ahead and use them until they end, and send again what they may. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';

import * as standIns from '@medlarweir/stand-ins';

import type * as proxies from './proxy.js';
import type * as schedules from './schedule.js';

/** `reset`: the connection was reset before a byte of an answer, as it is over bytes that nobody has read. */
export type Ending =
  { kind: 'answered'; status: number } | { kind: 'closed' } | { kind: 'reset' } | { kind: 'left' };

export type Outcome = {
  id: string;
  /** What the caller wants done, in one attempt or several. */
  operation: string;
  work: schedules.Work;
  beganAtMs: number;
  endedAtMs: number;
  end: Ending;
};

const HALF = 'half a body,';
const MAX_ATTEMPTS = 3;
/** Statuses that promise that the request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);

/** Plays the visits until the time is over. */
export async function play(
  name: string,
  visits: readonly schedules.Visit[],
  ways: readonly proxies.Proxy[],
  endsAtMs: number,
): Promise<readonly Outcome[]> {
  const outcomes: Outcome[] = [];
  for (const [at, visit] of visits.entries()) {
    if (performance.now() >= endsAtMs) break;
    outcomes.push(...(await playVisit(`${name}-${at}`, visit, ways)));
  }
  return outcomes;
}

async function playVisit(
  name: string,
  { instance, way, openedAheadMs, requests }: schedules.Visit,
  ways: readonly proxies.Proxy[],
): Promise<readonly Outcome[]> {
  const proxy = ways[instance];
  if (!proxy) return [];
  const outcomes: Outcome[] = [];
  const socket = proxy.connect(way);
  const agent = anAgent(socket);
  await timers.setTimeout(openedAheadMs);
  for (const [at, work] of requests.entries()) {
    const operation = `${name}-${at}`;
    const first = await send(`${operation}-0`, operation, work, agent);
    outcomes.push(first);
    if (mayGoElsewhere(first)) {
      outcomes.push(...(await sendAgain(operation, work, ways, (instance + 1) % ways.length)));
    }
    if (socket.destroyed) break;
    await timers.setTimeout(work.pauseMs);
  }
  socket.destroy();
  return outcomes;
}

/** Each further attempt has an id and a connection of its own. */
async function sendAgain(
  operation: string,
  work: schedules.Work,
  ways: readonly proxies.Proxy[],
  firstInstance: number,
): Promise<readonly Outcome[]> {
  const outcomes: Outcome[] = [];
  for (let attempt = 1; attempt < MAX_ATTEMPTS; attempt += 1) {
    const proxy = ways[(firstInstance + attempt - 1) % ways.length];
    if (!proxy) break;
    const socket = proxy.connect({ delayMs: 3, splitAtBytes: 0, splitPauseMs: 0 });
    const outcome = await send(`${operation}-${attempt}`, operation, work, anAgent(socket));
    socket.destroy();
    outcomes.push(outcome);
    if (!mayGoElsewhere(outcome)) break;
  }
  return outcomes;
}

export function promisesNotRun(end: Ending): boolean {
  return end.kind === 'answered' && NOT_RUN.has(end.status);
}

/** After a promise, or where nobody has read the request. */
function mayGoElsewhere({ end }: Outcome): boolean {
  return end.kind === 'reset' || promisesNotRun(end);
}

/** An agent for this connection alone, which may have received something before its first request. */
function anAgent(socket: net.Socket): http.Agent {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  Object.assign(agent, { createConnection: () => socket });
  socket.on('error', () => undefined);
  return agent;
}

function send(
  id: string,
  operation: string,
  work: schedules.Work,
  agent: http.Agent,
): Promise<Outcome> {
  const beganAtMs = performance.now();
  return new Promise((resolve) => {
    const finish = (end: Ending) => {
      resolve({ id, operation, work, beganAtMs, endedAtMs: performance.now(), end });
    };
    const request = http.request({
      method: 'POST',
      path: work.path,
      agent,
      headers: {
        host: 'shop.example',
        'x-medlarweir-request-id': id,
        'x-medlarweir-credential': 'key-1',
        'x-medlarweir-deadline-ms': work.deadlineMs,
        'content-length': 2 * HALF.length,
        [standIns.replica.PACE_HEADERS.delayMs]: work.delayMs,
      },
    });
    const patience = setTimeout(() => {
      finish({ kind: 'left' });
      request.destroy();
    }, work.deadlineMs);
    const seen = { hasHead: false };
    request.on('error', ({ message }) => {
      clearTimeout(patience);
      // An end is a hang-up for this client.
      const isReset = !seen.hasHead && message === 'read ECONNRESET';
      finish({ kind: isReset ? 'reset' : 'closed' });
    });
    request.on('response', (response) => {
      seen.hasHead = true;
      response.resume();
      response.on('error', () => undefined);
      response.on('close', () => {
        clearTimeout(patience);
        const { complete, statusCode: status = 0 } = response;
        finish(complete ? { kind: 'answered', status } : { kind: 'closed' });
      });
    });
    request.write(HALF);
    setTimeout(() => request.end(HALF), work.halvesMs);
  });
}
