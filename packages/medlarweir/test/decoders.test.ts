import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as store from '@medlarweir/platform/store';
import * as callersHttp from '@medlarweir/plugin-callers-http';
import * as storesHttp from '@medlarweir/plugin-stores-http';
import * as upstreamsHttp from '@medlarweir/plugin-upstreams-http';
import * as fastCheck from 'fast-check';
import type * as neverthrow from 'neverthrow';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as commandLine from '../src/command-line.js';

const suite = uvu.suite('decoders and bad input');

const SECRET = fixtures.PLANTED_SECRET;
const DIGEST = core.accounts.digestCredential(SECRET);

/** The result of a decoder: a value, nothing, or a failure with a result code. */
type Decoded = { kind: 'value' } | { kind: 'nothing' } | { kind: 'failed'; text: string };
type Decoder = { name: string; valid: unknown; decode(text: string): Decoded };

function toDecoded(outcome: neverthrow.Result<unknown, core.results.Failure>): Decoded {
  if (outcome.isOk()) return { kind: 'value' };
  assert.ok(core.results.resultCodes[outcome.error.code].number > 0);
  assert.ok(outcome.error.detail.length > 0);
  return { kind: 'failed', text: core.results.describe(outcome.error) };
}

function orNothing(value: unknown): Decoded {
  return value === undefined ? { kind: 'nothing' } : { kind: 'value' };
}

/** Adapts decoders that take the output of JSON.parse; text that is not JSON never reaches them. */
function parsed(decode: (value: unknown) => Decoded): (text: string) => Decoded {
  return (text) => {
    try {
      return decode(JSON.parse(text));
    } catch (error) {
      if (error instanceof SyntaxError) return { kind: 'nothing' };
      throw error;
    }
  };
}

const STORED = {
  metadata: { name: 'a', revision: 1 },
  spec: { value: { contextSecret: SECRET }, writeId: 'w' },
};
const MANIFEST = {
  piece: 'p',
  store: 's',
  slot: 1,
  slotIncarnation: 'a',
  storeIncarnation: 'b',
  lengthBytes: 3,
  checksum: 'c',
  tier: 'memory',
};
const CLAIM = {
  digest: DIGEST,
  attemptId: 'a',
  atMs: 1,
  lapsesAtMs: 2,
  outcome: { kind: 'claimed' },
};
const CONFIGURATION = fixtures.aConfiguration({
  clientAccounts: [
    fixtures.aClientAccount({ contextSecret: SECRET, credentialDigest: DIGEST }),
    fixtures.aClientAccount({ name: 'beta', contextSecret: SECRET, credentialDigest: DIGEST }),
  ],
});

const { decode: storeDecode } = store;

/** The platform port reports a failure as an answer of kind `unavailable`. */
function answerToDecoded(answer: core.messages.PlatformAnswer): Decoded {
  if (answer.kind !== 'unavailable') return { kind: 'value' };
  return { kind: 'failed', text: core.results.describe(answer.failure) };
}

const { wire: upstreamWire } = upstreamsHttp;

const DECODERS: readonly Decoder[] = [
  {
    name: 'completion request of a caller',
    valid: { model: 'briefing', prompt: SECRET, max_tokens: 3, stream: true },
    decode: (text) => toDecoded(callersHttp.decode.decode(aReceived({ body: Buffer.from(text) }))),
  },
  {
    name: 'platform object that was read',
    valid: STORED,
    decode: (text) =>
      answerToDecoded(storeDecode.toReadAnswer({ status: 200, text, era: 0 }, 'kind/a')),
  },
  {
    name: 'platform object that was written',
    valid: STORED,
    decode: (text) =>
      answerToDecoded(storeDecode.toWriteAnswer({ status: 200, text, era: 0 }, 'kind/a')),
  },
  {
    name: 'platform write conflict',
    valid: STORED,
    decode: (text) =>
      answerToDecoded(storeDecode.toWriteAnswer({ status: 409, text, era: 0 }, 'kind/a')),
  },
  {
    name: 'platform list page',
    valid: { items: [STORED], hasMore: false, storeRevision: 1 },
    decode: (text) => toDecoded(storeDecode.toPage({ status: 200, text, era: 0 }, 'kind')),
  },
  {
    name: 'platform watch result',
    valid: { events: [{ object: STORED, deleted: false }], storeRevision: 1 },
    decode: (text) => toDecoded(storeDecode.toWatchResult({ status: 200, text, era: 0 }, 'kind')),
  },
  {
    name: 'store report',
    valid: { kind: 'snapshot', sequence: 1, storeIncarnation: 'b', manifests: [MANIFEST] },
    decode: (text) => orNothing(storesHttp.wire.decodeReport(text)),
  },
  {
    name: 'run line of an upstream',
    valid: { kind: 'token', runId: 'r', offset: 0, text: 't' },
    decode: (text) => orNothing(upstreamWire.decodeRunLine(text)),
  },
  {
    name: 'engine report',
    valid: { kind: 'snapshot', sequence: 1, pieces: ['p'] },
    decode: (text) => orNothing(upstreamWire.decodeEngineReport(text)),
  },
  {
    name: 'imported pieces',
    valid: { seen: [MANIFEST] },
    decode: (text) => orNothing(upstreamWire.decodeImported(text)),
  },
  {
    name: 'exported pieces',
    valid: { exported: ['p'] },
    decode: (text) => orNothing(upstreamWire.decodeExported(text)),
  },
  {
    name: 'claim page',
    valid: { bucket: 0, isFull: false, bytes: 100, claims: { a: CLAIM } },
    decode: parsed((value) => toDecoded(core.claims.page.parsePage(value))),
  },
  {
    name: 'claim message between peers',
    valid: {
      kind: 'ask',
      asked: {
        place: { page: 'claims/hashed/1', name: DIGEST, bucket: 0 },
        operation: { kind: 'claim', digest: DIGEST, attemptId: 'a', atMs: 1, lapsesAtMs: 2 },
      },
    },
    decode: parsed((value) => toDecoded(core.claims.peerMessages.parse(value))),
  },
  {
    name: 'configuration',
    valid: CONFIGURATION,
    decode: parsed((value) => toDecoded(core.configuration.validate(value))),
  },
];

function aReceived(given: Partial<callersHttp.decode.RawRequest>): callersHttp.decode.RawRequest {
  return { method: 'POST', path: '/v1/completions', headers: {}, body: Buffer.of(), ...given };
}

DECODERS.forEach(({ name, valid, decode }) => {
  suite(`${name}: valid input is decoded`, () => {
    assert.is(decode(JSON.stringify(valid)).kind, 'value');
  });

  suite(
    `${name}: arbitrary text, arbitrary JSON and corrupted input give a value, nothing or a failure without secrets`,
    () => {
      const input = fastCheck.oneof(
        fixtures.anyText(),
        fastCheck.json(),
        fixtures.nearlyValid(valid).map((value) => JSON.stringify(value)),
      );
      fastCheck.assert(
        fastCheck.property(input, (text) => {
          const decoded = decode(text);
          if (decoded.kind !== 'failed') return;
          assert.not.match(decoded.text, SECRET.slice(0, 20));
          assert.not.match(decoded.text, DIGEST.slice(0, 20));
        }),
        fixtures.seeded(500),
      );
    },
  );
});

suite(
  'arbitrary request lines and headers of a caller give a value or a failure with a code and detail',
  () => {
    const headers = fastCheck.dictionary(
      fastCheck.constantFrom('authorization', 'idempotency-key', 'content-type', '__proto__'),
      fastCheck.string(),
    );
    const path = fastCheck.oneof(
      fastCheck.string(),
      fastCheck.string().map((rest) => `/services/${rest}`),
    );
    fastCheck.assert(
      fastCheck.property(fastCheck.string(), path, headers, (method, url, given) => {
        const received = aReceived({ method, path: url, headers: given });
        toDecoded(callersHttp.decode.decode(received));
        toDecoded(callersHttp.decode.parseCredential(received.headers));
      }),
      fixtures.seeded(500),
    );
  },
);

suite('an invalid credential does not appear in the failure text', () => {
  const found = callersHttp.decode.parseCredential({ authorization: `Basic ${SECRET}` });
  const decoded = toDecoded(found);
  assert.ok(decoded.kind === 'failed' && !decoded.text.includes(SECRET));
});

suite(
  'arbitrary command lines and environments give an invocation or a failure without the deployment key',
  () => {
    const word = fastCheck.oneof(
      fastCheck.string(),
      fastCheck.constantFrom('--name', '--platform', 'h:1', '--check', '--data-centre', '--', '-h'),
      fastCheck.constant(`--deployment-key=${SECRET}`),
    );
    const environment = fastCheck.dictionary(
      fastCheck.constantFrom('MEDLARWEIR_NAME', 'MEDLARWEIR_BALANCER_LAG_MS', 'MEDLARWEIR_STATSD'),
      fastCheck.string(),
    );
    fastCheck.assert(
      fastCheck.property(fastCheck.array(word), environment, (argv, given) => {
        const decoded = toDecoded(commandLine.parse(argv, given));
        assert.ok(decoded.kind !== 'failed' || !decoded.text.includes(SECRET));
      }),
      fixtures.seeded(500),
    );
  },
);

suite.run();
