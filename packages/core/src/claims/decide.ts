/**
 * The decisions of the claims task. Operations on one page gather while a write of it is under way
 * and go together into the next. The platform's conditional update alone decides who holds a claim.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as page from './page.js';
import * as replies from './replies.js';

/** How long a granted claim may wait before its request leaves. */
export const SEND_WITHIN_MS = 5_000;
/** Tries to write one batch, before its claims are refused. */
export const MAX_TRIES = 4;

type Batch = {
  waiting: readonly replies.Waiting[];
  writeId: string;
  tries: number;
  startedAtMs: number;
};

/** What is known of one page, and what is under way for it. */
type PageState = {
  version: number;
  value: page.Page;
  isKnown: boolean;
  queue: readonly replies.Waiting[];
  batch: Batch | undefined;
};

export type State = {
  incarnation: string;
  nextId: number;
  pages: Readonly<Record<string, PageState>>;
};

export type Command = replies.Command;
type Step = task.Step<State, Command>;

export function initial(incarnation: string): State {
  return { incarnation, nextId: 1, pages: {} };
}

export function decide(state: State, message: messages.ClaimsMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'claims.claim':
      return onClaim(state, message, now);
    case 'claims.record':
      return onRecord(state, message, now);
    case 'platform.answered':
      return onPlatform(state, message, now);
    case 'configuration.adopted':
    case 'membership.changed':
    case 'peers.digest-received':
    case 'claims.tick':
    case 'task.start':
    case 'task.stop':
      return { state, commands: [] };
    case 'task.leave':
      return { state, commands: [{ kind: 'left' }] };
    default:
      return results.never(message);
  }
}

function onClaim(
  state: State,
  message: Extract<messages.ClaimsMessage, { type: 'claims.claim' }>,
  now: task.Instant,
): Step {
  const { clientAccount, key, digest, requestId, replyTo } = message;
  const attemptId = `${state.incarnation}-${state.nextId}`;
  const claim: messages.Claim = { clientAccount, key, digest, attemptId };
  const waiting: replies.Waiting = { operation: { kind: 'claim', requestId, claim }, replyTo };
  return enqueue({ ...state, nextId: state.nextId + 1 }, waiting, now);
}

function onRecord(
  state: State,
  message: Extract<messages.ClaimsMessage, { type: 'claims.record' }>,
  now: task.Instant,
): Step {
  const { claim, outcome, requestId, replyTo } = message;
  const waiting: replies.Waiting = {
    operation: { kind: 'record', requestId, claim, outcome },
    replyTo,
  };
  return enqueue(state, waiting, now);
}

const UNKNOWN_PAGE: PageState = {
  version: 0,
  value: page.EMPTY_PAGE,
  isKnown: false,
  queue: [],
  batch: undefined,
};

function enqueue(state: State, waiting: replies.Waiting, now: task.Instant): Step {
  const { clientAccount, key } = waiting.operation.claim;
  const objectKey = page.pageKey(clientAccount, key);
  const found = state.pages[objectKey] ?? UNKNOWN_PAGE;
  const queued = { ...found, queue: [...found.queue, waiting] };
  return startBatch(withPage(state, objectKey, queued), objectKey, now);
}

function withPage(state: State, key: string, changed: PageState): State {
  return { ...state, pages: { ...state.pages, [key]: changed } };
}

/** Begins the next batch of a page, unless one is under way or nothing waits. */
function startBatch(state: State, key: string, now: task.Instant): Step {
  const found = state.pages[key] ?? UNKNOWN_PAGE;
  if (found.batch || found.queue.length === 0) return { state, commands: [] };
  const batch: Batch = {
    waiting: found.queue,
    writeId: `${state.incarnation}-${state.nextId}`,
    tries: 0,
    startedAtMs: now.monotonicMs,
  };
  const begun = { ...found, queue: [], batch };
  const next = withPage({ ...state, nextId: state.nextId + 1 }, key, begun);
  return begun.isKnown
    ? tryBatch(next, key, now)
    : { state: next, commands: [{ kind: 'read', key }] };
}

type Tried = { value: page.Page; applied: readonly page.Applied[] };

function applyAll(from: page.Page, waiting: readonly replies.Waiting[], wallMs: number): Tried {
  return waiting.reduce<Tried>(
    (so, { operation }) => {
      const next = page.apply(so.value, operation, wallMs);
      return { value: next.page, applied: [...so.applied, next.applied] };
    },
    { value: from, applied: [] },
  );
}

/** Applies the batch to the page as it is known, and writes the result if it differs. */
function tryBatch(state: State, key: string, now: task.Instant): Step {
  const found = state.pages[key];
  if (!found?.batch) return { state, commands: [] };
  const { batch } = found;
  const tried = applyAll(found.value, batch.waiting, now.wallMs);
  if (tried.value === found.value) return finish(state, key, tried, now);
  if (batch.tries >= MAX_TRIES) return abandon(state, key, now);
  const again = { ...found, batch: { ...batch, tries: batch.tries + 1 } };
  return {
    state: withPage(state, key, again),
    commands: [
      {
        kind: 'write',
        key,
        expectedVersion: found.version,
        value: tried.value,
        writeId: batch.writeId,
      },
    ],
  };
}

/** The ticket of each platform call is the page's key: one call for each page at a time. */
function onPlatform(state: State, message: messages.PlatformAnswered, now: task.Instant): Step {
  const key = message.ticket;
  const found = state.pages[key];
  if (!found?.batch) return { state, commands: [] };
  const { answer } = message;
  switch (answer.kind) {
    case 'written':
      return onWritten(state, key, answer.version, now);
    case 'object':
      return learn(state, key, answer.object, now);
    case 'missing':
      return learn(state, key, undefined, now);
    case 'conflict':
      return learn(state, key, answer.current, now);
    case 'unavailable':
      return onUnavailable(state, key, now);
    case 'objects':
      return { state, commands: [] };
    default:
      return results.never(answer);
  }
}

function onWritten(state: State, key: string, version: number, now: task.Instant): Step {
  const found = state.pages[key];
  if (!found?.batch) return { state, commands: [] };
  const tried = applyAll(found.value, found.batch.waiting, now.wallMs);
  const written = { ...found, version, value: tried.value };
  return finish(withPage(state, key, written), key, tried, now);
}

/** Takes the object as it stands; the own write id there means that a lost answer was a success. */
function learn(
  state: State,
  key: string,
  object: messages.StoredObject | undefined,
  now: task.Instant,
): Step {
  const found = state.pages[key];
  if (!found?.batch) return { state, commands: [] };
  const parsed = object ? page.parsePage(object.value) : undefined;
  if (parsed?.isErr()) return abandon(state, key, now);
  const value = parsed?.isOk() ? parsed.value : page.EMPTY_PAGE;
  const known = { ...found, version: object?.version ?? 0, value, isKnown: true };
  return tryBatch(withPage(state, key, known), key, now);
}

/** Reads again: only the object itself tells whether the write took effect. */
function onUnavailable(state: State, key: string, now: task.Instant): Step {
  const found = state.pages[key];
  if (!found?.batch) return { state, commands: [] };
  if (found.batch.tries >= MAX_TRIES) return abandon(state, key, now);
  const again = {
    ...found,
    isKnown: false,
    batch: { ...found.batch, tries: found.batch.tries + 1 },
  };
  return { state: withPage(state, key, again), commands: [{ kind: 'read', key }] };
}

function finish(state: State, key: string, tried: Tried, now: task.Instant): Step {
  const found = state.pages[key];
  if (!found?.batch) return { state, commands: [] };
  const sendBeforeMs = found.batch.startedAtMs + SEND_WITHIN_MS;
  const answers = found.batch.waiting.map((waiting, at) =>
    replies.reply(waiting, tried.applied[at] ?? { kind: 'overtaken' }, sendBeforeMs),
  );
  const next = startBatch(withPage(state, key, { ...found, batch: undefined }), key, now);
  return { state: next.state, commands: [...answers, ...next.commands] };
}

/** Refuses what waits. Nothing of it was sent, so "not run" is true. */
function abandon(state: State, key: string, now: task.Instant): Step {
  const found = state.pages[key];
  if (!found?.batch) return { state, commands: [] };
  const answers = found.batch.waiting.map((waiting) => replies.refuse(waiting));
  const next = startBatch(
    withPage(state, key, { ...found, isKnown: false, batch: undefined }),
    key,
    now,
  );
  return { state: next.state, commands: [...answers, ...next.commands] };
}
