/**
 * A stand-in for the managed context store of the users' platform: parts stored by salt and id, long
 * polls for events of added and removed parts (a bounded number of them at once), and free requests.
 * It evicts nothing on its own.
 */
import * as serve from '../http/serve.js';

export type Fault = 'none' | 'silent' | 'error';

export type ContextStore = {
  address: string;
  /** Stores a part and appends the event of its completed save. */
  save(salt: string, id: string, tokens: number): void;
  /** Simulates a restart: removes all parts and events and increments the boot epoch. */
  restart(): void;
  setFault(fault: Fault): void;
  has(salt: string, id: string): boolean;
  /** Highest number of event calls held at once, and counts of rejected event calls and of list calls. */
  stats(): { peakHeldCalls: number; rejectedCalls: number; listCalls: number };
  close(): Promise<void>;
};

/** Sequence number, sign (added or removed), salt, id, number of tokens stored after the event, model. */
type LogEntry = readonly [number, '+' | '-', string, string, number, string];
type StoredPart = { salt: string; id: string; tokens: number };
type State = {
  fault: Fault;
  epoch: number;
  events: LogEntry[];
  parts: Map<string, StoredPart>;
  held: number;
  peakHeldCalls: number;
  rejectedCalls: number;
  listCalls: number;
  waiting: Set<() => void>;
};

const MODEL = 'model-1';
const MAX_EVENT_WAIT_MS = 1_000;

export async function start({ maxHeldCalls = 12 } = {}): Promise<ContextStore> {
  const state: State = {
    fault: 'none',
    epoch: 1,
    events: [],
    parts: new Map(),
    held: 0,
    peakHeldCalls: 0,
    rejectedCalls: 0,
    listCalls: 0,
    waiting: new Set(),
  };
  const { address, close } = await serve.listen((request) => handle(state, maxHeldCalls, request));
  return {
    address,
    save: (salt, id, tokens) => {
      state.parts.set(keyOf(salt, id), { salt, id, tokens });
      appendEvent(state, '+', { salt, id, tokens });
    },
    restart: () => {
      Object.assign(state, { epoch: state.epoch + 1, events: [], parts: new Map() });
      wakeAll(state);
    },
    setFault: (fault) => Object.assign(state, { fault }),
    has: (salt, id) => state.parts.has(keyOf(salt, id)),
    stats: () => {
      const { peakHeldCalls, rejectedCalls, listCalls } = state;
      return { peakHeldCalls, rejectedCalls, listCalls };
    },
    close: () => {
      wakeAll(state);
      return close();
    },
  };
}

function keyOf(salt: string, id: string): string {
  return `${salt} ${id}`;
}

function appendEvent(state: State, sign: '+' | '-', { salt, id, tokens }: StoredPart): void {
  state.events.push([state.events.length + 1, sign, salt, id, tokens, MODEL]);
  wakeAll(state);
}

function wakeAll({ waiting }: State): void {
  waiting.forEach((wake) => wake());
  waiting.clear();
}

async function handle(
  state: State,
  maxHeldCalls: number,
  { method, path, query, headers, body }: serve.Request,
): Promise<serve.Reply> {
  if (state.fault === 'silent') return { kind: 'silent' };
  if (state.fault === 'error') return serve.json(500, {});
  switch (`${method} /${path.join('/')}`) {
    case 'GET /-/kv-events':
      return events(state, maxHeldCalls, Number(query.get('since')), Number(headers['wait-ms']));
    case 'GET /-/kv-list':
      Object.assign(state, { listCalls: state.listCalls + 1 });
      return serve.json(200, {
        ...logPosition(state),
        held: [...state.parts.values()].map(({ salt, id, tokens }) => [salt, id, tokens, MODEL]),
        partial: [],
      });
    case 'POST /-/kv-free':
      return free(state, JSON.parse(body.toString()) as FreeRequest);
    default:
      return serve.json(404, {});
  }
}

function logPosition({ epoch, events: entries }: State) {
  return { bootEpoch: epoch, nextToken: entries.length, clock_ms: Date.now() };
}

async function events(
  state: State,
  maxHeldCalls: number,
  since: number,
  waitMs: number,
): Promise<serve.Reply> {
  if (state.held >= maxHeldCalls) {
    Object.assign(state, { rejectedCalls: state.rejectedCalls + 1 });
    return serve.json(429, {});
  }
  const { epoch } = state;
  const held = state.held + 1;
  Object.assign(state, { held, peakHeldCalls: Math.max(state.peakHeldCalls, held) });
  if (state.events.length <= since) {
    await waitForEvent(state, Math.min(waitMs || 0, MAX_EVENT_WAIT_MS));
  }
  Object.assign(state, { held: state.held - 1 });
  const isLost = epoch !== state.epoch;
  const found = isLost ? [] : state.events.slice(since);
  return serve.json(200, { ...logPosition(state), lost: isLost, events: found });
}

function waitForEvent({ waiting }: State, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, waitMs);
    waiting.add(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}

type FreeRequest = { bootEpoch?: number; parts: readonly (readonly [string, string])[] };

function free(state: State, { bootEpoch, parts }: FreeRequest): serve.Reply {
  if (bootEpoch !== undefined && bootEpoch !== state.epoch) return serve.json(409, {});
  parts.forEach(([salt, id]) => {
    if (!state.parts.delete(keyOf(salt, id))) return;
    appendEvent(state, '-', { salt, id, tokens: 0 });
  });
  return serve.json(200, {});
}
