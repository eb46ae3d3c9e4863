/** Policies that choose an upstream: the real decisions, and two baselines unaware of cold starts. */
import * as core from '@medlarweir/core';

/** Inputs available to a policy. */
export type PlacementInput = {
  state: core.routing.State;
  outline: core.messages.PromptOutline;
  now: core.kernel.Instant;
  sendToRouting(message: core.messages.RoutingMessage): void;
  replyTo: core.kernel.Address<core.messages.PlacementDecided>;
};

export type Choice = {
  plan(question: PlacementInput): void;
  /** Whether prompts go through admission before routing. */
  hasAdmission: boolean;
};
export type Policy = 'medlarweir' | 'least-loaded' | 'round-robin';
export const POLICIES: readonly Policy[] = ['medlarweir', 'least-loaded', 'round-robin'];

/** Each instance needs its own policy object, because round-robin keeps a counter. */
export function create(policy: Policy): Choice {
  switch (policy) {
    case 'medlarweir':
      return {
        hasAdmission: true,
        plan: ({ outline, replyTo, sendToRouting }) =>
          sendToRouting({ type: 'routing.place-prompt', outline, replyTo }),
      };
    case 'least-loaded':
      return { plan: planLeastLoaded, hasAdmission: false };
    case 'round-robin':
      return roundRobin();
    default:
      return core.results.assertNever(policy);
  }
}

function eligible({ state, outline }: PlacementInput): readonly core.configuration.Upstream[] {
  const centres = state.configuration?.dataCentres ?? [];
  const inService = new Set(centres.filter((c) => c.presence === 'in').map(({ name }) => name));
  return (state.configuration?.upstreams ?? []).filter(
    (upstream) =>
      upstream.services.includes(outline.service) &&
      upstream.presence === 'in' &&
      inService.has(upstream.dataCentre) &&
      !outline.excluded.includes(upstream.name),
  );
}

/** Picks the least of max(own in flight, reported) work; no limit while cold, no slow start. */
function planLeastLoaded(question: PlacementInput): void {
  const { state } = question;
  const loadOf = ({ name }: core.configuration.Upstream) => {
    const load = core.load.ensureUpstream(state.load, name);
    return Math.max(load.inFlight, load.reportedRunning + load.reportedWaiting);
  };
  const ranked = [...eligible(question)].sort((a, b) => loadOf(a) - loadOf(b));
  answer(question, ranked[0]);
}

function roundRobin(): Choice {
  const counter = { next: 0 };
  return {
    hasAdmission: false,
    plan(question) {
      const all = eligible(question);
      counter.next += 1;
      answer(question, all[counter.next % Math.max(1, all.length)]);
    },
  };
}

function answer(question: PlacementInput, upstream: core.configuration.Upstream | undefined): void {
  const { state, outline, now, replyTo } = question;
  const { requestId } = outline;
  if (!upstream) {
    const failure = core.results.failure('noUpstream', 'none is in service');
    const plan: core.messages.PlacementDecision = { kind: 'refused', failure, retryAfterMs: 0 };
    replyTo.send({ type: 'placement.decided', requestId, decision: plan });
    return;
  }
  core.load.recordStart(state.load, upstream.name, now);
  state.inFlightRequests.set(requestId, { upstream: upstream.name, outline, reusePieces: 0 });
  const placement: core.messages.Placement = {
    upstream: upstream.name,
    reusePieces: 0,
    imports: [],
    storeAddress: '',
    expectedFirstTokenMs: 0,
  };
  const plan: core.messages.PlacementDecision = { kind: 'placed', placement, candidates: [] };
  replyTo.send({ type: 'placement.decided', requestId, decision: plan });
}
