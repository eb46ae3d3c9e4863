/** Lines to a stream whose reader may be slow or gone: what does not fit is dropped and counted. */

/** The part of a writable stream that is used. */
export type Output = { write(text: string): unknown; readonly writableLength: number };

export type BoundedOutput = { write(line: string): void };

/** Kept for a reader that has fallen behind: some seconds of lines at the usual load. */
export const MAX_BUFFERED_BYTES = 256 * 1024;
/** Room must be this much below the bound before lines are written again, so that gaps are few. */
const RESUME_FRACTION = 0.5;

export function create(output: Output, describeDropped: (lines: number) => string): BoundedOutput {
  const state = { dropped: 0 };
  return {
    write(line) {
      const share = state.dropped > 0 ? RESUME_FRACTION : 1;
      if (output.writableLength > MAX_BUFFERED_BYTES * share) {
        state.dropped += 1;
        return;
      }
      if (state.dropped > 0) output.write(describeDropped(state.dropped));
      state.dropped = 0;
      output.write(line);
    },
  };
}
