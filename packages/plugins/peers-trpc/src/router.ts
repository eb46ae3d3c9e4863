/** The tRPC procedures that an instance offers to its peers and to operators. */
import * as core from '@medlarweir/core';
import * as trpcServer from '@trpc/server';
import * as zod from 'zod';

/** The tRPC context of a call: whether its sender presented an accepted deployment key. */
export type Context = { isAuthenticated: boolean };

const gossipMessageSchema = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('configuration'), configuration: zod.unknown() }),
  zod.object({ kind: zod.literal('configuration-changes'), changes: zod.unknown() }),
  zod.object({
    kind: zod.literal('configuration-request'),
    generation: zod.number(),
    address: zod.string(),
  }),
  zod.object({
    kind: zod.literal('heartbeat'),
    from: zod.string(),
    incarnation: zod.string(),
    sequence: zod.number(),
    generation: zod.number(),
    ageMs: zod.number().nonnegative().optional(),
    silent: zod.array(zod.string()).readonly().optional(),
    cut: zod.array(zod.string()).readonly().optional(),
  }),
  zod.object({
    kind: zod.literal('digest'),
    for: zod.enum(['routing', 'admission', 'claims', 'membership', 'orders']),
    from: zod.string(),
    digest: zod.unknown(),
  }),
]);

export type Handlers = {
  onGossipMessage(received: core.messages.GossipMessage): void;
  dump(): Record<string, unknown>;
};

/**
 * Errors carry no stack trace, which would reveal internals of the instance to unauthenticated
 * callers.
 */
const trpc = trpcServer.initTRPC.context<Context>().create({ isDev: false });

/** Rejects calls without an accepted deployment key as `UNAUTHORIZED`. */
const authenticatedProcedure = trpc.procedure.use(({ ctx, next }) => {
  if (!ctx.isAuthenticated) throw new trpcServer.TRPCError({ code: 'UNAUTHORIZED' });
  return next();
});

export function createRouter(handlers: Handlers) {
  return trpc.router({
    notify: authenticatedProcedure.input(gossipMessageSchema).mutation(({ input }) => {
      handlers.onGossipMessage(input);
    }),
    dump: authenticatedProcedure.query(() => handlers.dump()),
  });
}

export type Router = ReturnType<typeof createRouter>;
