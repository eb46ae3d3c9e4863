/** Which instance reads for this one over time: a reader that answers by turns must not be left and taken each second. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('readers: source');

const ADOPTION_MS = 4_000;
const TICK_MS = 400;
const KIND = 'things';

/** An instance of a group of ten that has a better candidate than itself. */
function aFollower() {
  const members = Array.from({ length: 12 }, (_, at) => ({
    name: `instance-${at}`,
    dataCentre: 'dc-1',
    notes: `h:${at + 1}`,
    callers: undefined,
    processorShare: 0,
    signingKey: undefined,
  }));
  const { name } = members.find(
    (each) => core.readers.groups.divide(each.name, members, 12).candidates.length > 0,
  ) ?? { name: '' };
  const options = { name, incarnation: 'life-1', adoptionMs: ADOPTION_MS };
  const held = { state: core.readers.initial(options, fixtures.anInstant()), nowMs: 0 };
  const sources: string[] = [];
  const changedAtMs: number[] = [];
  const send = (message: core.messages.ReadersMessage) => {
    const step = core.readers.decide(held.state, message, fixtures.anInstant(held.nowMs));
    held.state = step.state;
    const { source } = step.state;
    const text = source.kind === 'peer' ? source.name : source.kind;
    if (sources.at(-1) !== text) {
      sources.push(text);
      changedAtMs.push(held.nowMs);
    }
    return step.commands;
  };
  send({ type: 'readers.members-changed', members });
  const [candidate = ''] = held.state.groups.candidates;
  const answer = (ageMs: number) => {
    const question = { incarnation: 'life-1', sentAt: fixtures.anInstant(held.nowMs - 5) };
    const positions = [{ objectKind: KIND, revision: 1, changedAt: 1, ageMs }];
    return send({ type: 'readers.answered', from: candidate, question, positions });
  };
  const tick = () => {
    held.nowMs += TICK_MS;
    return send({ type: 'readers.tick' });
  };
  return { candidate, answer, tick, sources, changedAtMs, held };
}

suite('an instance follows a candidate that answers, and leaves one that does not', () => {
  const { candidate, answer, tick, sources } = aFollower();
  answer(100);
  tick();
  answer(100);
  [1, 2, 3, 4].forEach(tick);
  assert.equal(sources, ['undecided', candidate, 'self']);
});

suite('a candidate with old knowledge is not followed', () => {
  const { answer, tick, sources } = aFollower();
  answer(3_500);
  [1, 2, 3, 4].forEach(tick);
  assert.equal(sources, ['undecided', 'self']);
});

/** Guards against all followers that read every kind at once when the platform has not answered for a while. */
suite('a reader without news is kept for one and a half bounds while it answers', () => {
  const { candidate, answer, tick, sources, held } = aFollower();
  const lastConfirmedMs = -100;
  const answerWithoutNews = () => answer(held.nowMs - lastConfirmedMs);
  while (held.nowMs < 1.4 * ADOPTION_MS) {
    answerWithoutNews();
    tick();
  }
  assert.equal(sources, ['undecided', candidate]);
  answerWithoutNews();
  tick();
  answerWithoutNews();
  assert.equal(sources, ['undecided', candidate, 'self']);
});

suite('a reader that answers by turns is left for two seconds at least', () => {
  const { answer, tick, sources, changedAtMs } = aFollower();
  answer(100);
  for (let at = 0; at < 50; at += 1) {
    tick();
    if (at % 5 === 4) answer(100);
  }
  const spans = sources.flatMap((source, at) =>
    source === 'self' && at + 1 < sources.length
      ? [(changedAtMs[at + 1] ?? 0) - (changedAtMs[at] ?? 0)]
      : [],
  );
  assert.ok(spans.length > 0);
  spans.forEach((ms) => assert.ok(ms >= 2_000, `${ms} ms`));
});

suite('an answer to a question of an earlier life is dropped', () => {
  const { candidate, held, sources } = aFollower();
  const question = { incarnation: 'life-0', sentAt: fixtures.anInstant(0) };
  const positions = [{ objectKind: KIND, revision: 1, changedAt: 1, ageMs: 1 }];
  const message = { type: 'readers.answered' as const, from: candidate, question, positions };
  const { state } = core.readers.decide(held.state, message, fixtures.anInstant(10));
  assert.is(state.heard.size, 0);
  assert.equal(sources, ['undecided']);
});

suite.run();
