/* eslint-disable import-x/extensions, import-x/prefer-default-export, @stylistic/max-len -- a script that runs step by step, formatted by Prettier */
/** Clients that come at a rate, whatever becomes of the requests before, and keep their connections. */
import http from 'node:http';
import timers from 'node:timers/promises';

import * as deployment from './deployment.mjs';
import * as processes from './processes.mjs';

/** Share of the requests that are reads, as on the sheets. */
const READ_SHARE = 0.4;

export function start(machines, { perS, deadlineMs }) {
  const state = { perS, isOver: false, sent: 0 };
  const counts = new Map();
  const open = new Set();
  const agent = new http.Agent({ keepAlive: true });
  const count = (what) => counts.set(what, (counts.get(what) ?? 0) + 1);

  function settle(id, kind, outcome) {
    count(`${kind} ${outcome}`);
    processes.record(`client ${id}: ${outcome}`);
  }

  /** One client attempt; `budgetMs` is what is left to the client. */
  function attempt(id, isRead, budgetMs, mayComeBack) {
    const machine = machines[Math.floor(Math.random() * machines.length)];
    const [host, port] = machine.front.split(':');
    const startedAt = performance.now();
    const kind = isRead ? 'safe' : 'unsafe';
    const request = http.request(
      {
        host,
        port,
        // A client retries on a new connection.
        agent: mayComeBack ? agent : false,
        method: isRead ? 'GET' : 'POST',
        path: isRead ? `/log/${id}` : `/book/${id}`,
        headers: {
          ...deployment.headersOf(id, Math.round(budgetMs)),
          ...(isRead ? {} : { 'content-length': '0' }),
        },
        timeout: budgetMs,
      },
      (response) => {
        response.resume();
        response.on('error', () => settle(id, kind, 'broken'));
        response.on('end', () => {
          open.delete(request);
          const { statusCode, headers } = response;
          settle(id, kind, statusCode);
          const leftMs = budgetMs - (performance.now() - startedAt);
          const afterMs = Number(headers['retry-after'] ?? 0) * 1_000;
          if (statusCode !== 503 || !mayComeBack || afterMs > leftMs / 3) return;
          setTimeout(() => attempt(`${id}-again`, isRead, leftMs - afterMs, false), afterMs);
        });
      },
    );
    open.add(request);
    request.on('timeout', () => request.destroy(new Error('deadline')));
    request.on('error', (error) => {
      open.delete(request);
      settle(id, kind, error.message);
    });
    request.end();
  }

  function next() {
    if (state.isOver) return;
    state.sent += 1;
    attempt(`r-${state.sent}`, Math.random() < READ_SHARE, deadlineMs, true);
    setTimeout(next, (-Math.log(1 - Math.random()) * 1_000) / state.perS);
  }
  next();
  return {
    setRate: (rate) => Object.assign(state, { perS: rate }),
    summary: () => JSON.stringify(Object.fromEntries([...counts].sort())),
    /** Ends the stream of requests, and waits for the answers. */
    async stop() {
      state.isOver = true;
      await timers.setTimeout(deadlineMs);
      agent.destroy();
    },
  };
}
