/** Settings that bound what untrusted clients may hold; the same for both kinds of instance. */
import * as zod from 'zod';

export const callerMemoryMb = zod.coerce
  .number()
  .min(0)
  .max(1_048_576)
  .default(0)
  .describe(
    'memory that requests and unread responses of all callers may hold, in MB; if 0, a share of the heap limit and of the machine’s memory, and 8 at least',
  );

export const memoryMb = zod.coerce
  .number()
  .min(0)
  .max(1_048_576)
  .default(0)
  .describe(
    'resident memory that the process may have on its machine, in MB; if 0, what the system tells',
  );

export const maxDescriptors = zod.coerce
  .number()
  .int()
  .min(0)
  .max(100_000_000)
  .default(0)
  .describe('file descriptors that the process may open; if 0, the limit that the system tells');

export const maxConnections = zod.coerce
  .number()
  .int()
  .min(1)
  .max(1_000_000)
  .default(3_000)
  .describe(
    'connections of callers; fewer if the descriptors of the process do not suffice for 500 others',
  );
