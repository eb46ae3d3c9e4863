/** Generates the configuration of a team from its answers, on top of what is configured already. */
import * as crypto from 'node:crypto';

import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import type * as answers from './answers.js';

export type Generated = {
  configuration: core.configuration.Configuration;
  /** Credentials made here, by account: shown once and kept nowhere. */
  newCredentials: Readonly<Record<string, string>>;
};

const SECRET_BYTES = 32;

function secret(): string {
  return crypto.randomBytes(SECRET_BYTES).toString('hex');
}

export function generate(
  given: answers.Answers,
  current: core.configuration.Configuration | undefined,
): neverthrow.Result<Generated, core.results.Failure> {
  const credentials = given.clientAccounts.map((account) => ({
    account,
    credential: account.credential ?? secret(),
  }));
  const added = {
    dataCentres: given.dataCentres.map((each) => ({ name: each, region: given.region })),
    clientAccounts: credentials.map(({ account, credential }) => ({
      name: account.name,
      credentialDigest: core.accounts.digestCredential(credential),
      contextSecret: existingSecret(current, account.name) ?? secret(),
      share: account.share,
    })),
    services: given.services.map(toService),
    upstreams: given.upstreams,
    stores: given.stores,
  };
  const merged = {
    generation: (current?.generation ?? 0) + 1,
    dataCentres: merge(current?.dataCentres, added.dataCentres),
    clientAccounts: merge(current?.clientAccounts, added.clientAccounts),
    services: merge(current?.services, added.services),
    upstreams: merge(current?.upstreams, added.upstreams),
    stores: merge(current?.stores, added.stores),
    limits: { ...current?.limits, ...given.limits },
  };
  const fresh = credentials.filter(({ account }) => account.credential === undefined);
  const newCredentials = Object.fromEntries(
    fresh.map(({ account, credential }) => [account.name, credential]),
  );
  return core.configuration
    .check(JSON.parse(JSON.stringify(merged)))
    .map((configuration) => ({ configuration, newCredentials }));
}

/** An account that is there already keeps its secret, or its kept context would be lost. */
function existingSecret(
  current: core.configuration.Configuration | undefined,
  account: string,
): string | undefined {
  return current?.clientAccounts.find(({ name }) => name === account)?.contextSecret;
}

type Weights = core.configuration.ModelService['weights'];

/** How the team's wish weighs milliseconds of waiting against tokens recomputed. */
const WEIGHTS: Record<'first-token' | 'recompute' | 'both', Weights> = {
  'first-token': { firstToken: 1, recompute: 0.2 },
  recompute: { firstToken: 0.2, recompute: 1 },
  both: { firstToken: 1, recompute: 1 },
};

function toService(service: answers.Answers['services'][number]) {
  switch (service.kind) {
    case 'model': {
      const { weighs, ...rest } = service;
      return { ...rest, weights: WEIGHTS[weighs] };
    }
    case 'plain':
      return service;
    default:
      return core.results.never(service);
  }
}

/** Later entries replace earlier ones of the same name. */
function merge(
  current: readonly { name: string }[] | undefined,
  added: readonly { name: string }[],
): readonly { name: string }[] {
  const names = new Set(added.map(({ name }) => name));
  return [...(current ?? []).filter(({ name }) => !names.has(name)), ...added];
}
