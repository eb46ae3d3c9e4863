/**
 * What is long and what is short at a service: a boundary learned from its own prompts, which parts
 * their sizes into the two classes that differ most (Otsu, 1979), on a logarithmic scale.
 */

/** Buckets of a quarter of a doubling, up to 4 million tokens. */
const BUCKETS_PER_DOUBLING = 4;
const BUCKETS = 88;
/** Number of prompts that the distribution remembers: some minutes of one instance's requests. */
const MEMORY_PROMPTS = 500;
/** Fewer prompts say nothing about the service. */
const MIN_PROMPTS = 16;
/** Classes closer together than this factor are one: mixing them costs less than a step of an engine. */
const MIN_RATIO = 2;
/** The boundary is computed anew after this many further prompts. */
const REFRESH_PROMPTS = 8;

/** Boundaries anywhere in a gap without prompts are equally good, but for rounding; its middle is taken. */
const SAME_VARIANCE = 1e-9;

/** Prompt tokens by size. Updated in place. */
export type Sizes = {
  /** Decayed number of prompts and of their tokens by bucket. */
  prompts: Float64Array;
  tokens: Float64Array;
  recorded: number;
  boundary: Boundary | undefined;
};

/** The two classes of a service; undefined while its prompts are all alike. */
export type Boundary = {
  /** Prompts with at least this many tokens are long. */
  tokens: number;
  meanShortTokens: number;
  meanLongTokens: number;
};

export function create(): Sizes {
  return {
    prompts: new Float64Array(BUCKETS),
    tokens: new Float64Array(BUCKETS),
    recorded: 0,
    boundary: undefined,
  };
}

export function kindOf({ tokens }: Boundary, promptTokens: number): 'short' | 'long' {
  return promptTokens >= tokens ? 'long' : 'short';
}

export function record(sizes: Sizes, promptTokens: number): void {
  const { prompts, tokens } = sizes;
  const kept = 1 - 1 / MEMORY_PROMPTS;
  for (let at = 0; at < BUCKETS; at += 1) {
    prompts[at] = (prompts[at] ?? 0) * kept;
    tokens[at] = (tokens[at] ?? 0) * kept;
  }
  const bucket = bucketOf(promptTokens);
  prompts[bucket] = (prompts[bucket] ?? 0) + 1;
  tokens[bucket] = (tokens[bucket] ?? 0) + promptTokens;
  Object.assign(sizes, { recorded: sizes.recorded + 1 });
  if (sizes.recorded >= MIN_PROMPTS && sizes.recorded % REFRESH_PROMPTS === 0) {
    Object.assign(sizes, { boundary: findBoundary(sizes) });
  }
}

function bucketOf(tokens: number): number {
  return Math.min(BUCKETS - 1, Math.floor(Math.log2(Math.max(1, tokens)) * BUCKETS_PER_DOUBLING));
}

/** Each size weighs as much as its tokens, so that few long prompts are a class as well. */
function findBoundary({ prompts, tokens }: Sizes): Boundary | undefined {
  const total = { prompts: sum(prompts), tokens: sum(tokens), moment: moment(tokens) };
  const below = { prompts: 0, tokens: 0, moment: 0 };
  const best = { variance: 0, firstAt: 0, found: undefined as Boundary | undefined };
  for (let at = 1; at < BUCKETS; at += 1) {
    below.prompts += prompts[at - 1] ?? 0;
    below.tokens += tokens[at - 1] ?? 0;
    below.moment += (tokens[at - 1] ?? 0) * (at - 1);
    const above = { tokens: total.tokens - below.tokens, prompts: total.prompts - below.prompts };
    if (below.tokens > 0 && above.tokens > 1) {
      const distance = (total.moment - below.moment) / above.tokens - below.moment / below.tokens;
      const variance = below.tokens * above.tokens * distance ** 2;
      const isSame = Math.abs(variance - best.variance) <= best.variance * SAME_VARIANCE;
      if (isSame || variance > best.variance) {
        best.firstAt = isSame ? best.firstAt : at;
        best.variance = Math.max(variance, best.variance);
        best.found = {
          tokens: 2 ** ((best.firstAt + at) / 2 / BUCKETS_PER_DOUBLING),
          meanShortTokens: below.tokens / below.prompts,
          meanLongTokens: above.tokens / above.prompts,
        };
      }
    }
  }
  const { found } = best;
  return found && found.meanLongTokens >= found.meanShortTokens * MIN_RATIO ? found : undefined;
}

function sum(values: Float64Array): number {
  return values.reduce((total, each) => total + each, 0);
}

function moment(values: Float64Array): number {
  return values.reduce((total, each, at) => total + each * at, 0);
}
