/**
 * Writes lines to a stream whose reader may be slow or gone. Lines that exceed the buffer bound are
 * dropped and counted.
 */

/** The members of a writable stream that this module uses. */
export type Output = { write(text: string): unknown; readonly writableLength: number };

export type BoundedOutput = { write(line: string): void };

/** Buffer for a slow reader: a few seconds of lines at the usual load. */
export const MAX_BUFFERED_BYTES = 256 * 1024;
/**
 * After a drop, writing goes on when the buffer is below this fraction of the bound. The hysteresis
 * keeps gaps in the log few.
 */
const RESUME_FRACTION = 0.5;

export function create(output: Output, describeDropped: (lines: number) => string): BoundedOutput {
  const state = { dropped: 0 };
  return {
    write(line) {
      const boundFraction = state.dropped > 0 ? RESUME_FRACTION : 1;
      if (output.writableLength > MAX_BUFFERED_BYTES * boundFraction) {
        state.dropped += 1;
        return;
      }
      if (state.dropped > 0) output.write(describeDropped(state.dropped));
      state.dropped = 0;
      output.write(line);
    },
  };
}
