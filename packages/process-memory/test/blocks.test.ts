/** Guards against bodies that are cut, mixed or kept twice, as their blocks are used again. */
import * as processMemory from '@medlarweir/process-memory';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const { blocks } = processMemory;

const suite = uvu.suite('blocks of bodies');

const SEED = 20_261_207;
const MAX_CHUNK_BYTES = 200_000;

const aPool = (idleBlocks = 4) => blocks.createPool(idleBlocks * blocks.BLOCK_BYTES);

suite('bodies are what was appended, also where others were written and discarded between', () => {
  const pool = aPool();
  const lengths = fastCheck.array(fastCheck.nat(MAX_CHUNK_BYTES), { maxLength: 6 });
  const property = fastCheck.property(
    fastCheck.array(fastCheck.tuple(lengths, fastCheck.boolean(), fastCheck.boolean())),
    (bodies) => {
      const written = bodies.map(([sizes, isKnown, isFinished], at) => {
        const whole = Buffer.alloc(
          sizes.reduce((sum, each) => sum + each, 0),
          at + 1,
        );
        return { sizes, whole, isFinished, writer: pool.writer(isKnown ? whole.length : 0) };
      });
      written.forEach(({ sizes, whole, writer }) => {
        let from = 0;
        sizes.forEach((size) => {
          writer.append(whole.subarray(from, from + size));
          from += size;
        });
      });
      written.forEach(({ whole, writer, isFinished }) => {
        if (isFinished) assert.ok(writer.finish().equals(whole));
        else writer.discard();
      });
    },
  );
  fastCheck.assert(property, { seed: SEED, numRuns: 30 });
});

suite('a body of a known length is kept once, and a longer one is whole as well', () => {
  const known = aPool().writer(100_000);
  assert.is(known.append(Buffer.alloc(60_000, 1)), 100_000);
  assert.is(known.append(Buffer.alloc(40_000, 2)), 0);
  assert.is(known.append(Buffer.alloc(10, 3)), blocks.BLOCK_BYTES);
  const body = known.finish();
  assert.is(body.length, 100_010);
  assert.equal([body[59_999], body[60_000], body[100_009]], [1, 2, 3]);
});

suite('a small body takes little memory', () => {
  assert.is(aPool().writer().append(Buffer.alloc(1)), 1_024);
});

suite('a finished body does not change when its blocks are used again', () => {
  const pool = aPool();
  const first = pool.writer();
  first.append(Buffer.alloc(3 * blocks.BLOCK_BYTES, 1));
  const body = first.finish();
  const second = pool.writer();
  second.append(Buffer.alloc(3 * blocks.BLOCK_BYTES, 2));
  assert.ok(body.every((byte) => byte === 1));
});

suite.run();
