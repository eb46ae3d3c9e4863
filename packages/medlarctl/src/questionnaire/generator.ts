/** Generates a configuration from the answers of a team, merged into the active configuration. */
import * as crypto from 'node:crypto';

import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import type * as answers from './answers.js';

type Configuration = core.configuration.Configuration;

export type Generated = {
  configuration: Configuration;
  /** Generated credentials by account name; they are shown once and not stored. */
  newCredentials: Readonly<Record<string, string>>;
};

export function generate(
  given: answers.Answers,
  current: Configuration | undefined,
): neverthrow.Result<Generated, core.results.Failure> {
  const accounts = given.clientAccounts.map((account) => toAccount(account, current));
  const dataCentres = given.dataCentres.map((name) => ({ name, region: given.region }));
  const merged = {
    generation: (current?.generation ?? 0) + 1,
    dataCentres: merge(current?.dataCentres, keepPresence(current?.dataCentres, dataCentres)),
    clientAccounts: merge(
      current?.clientAccounts,
      accounts.map(({ configured }) => configured),
    ),
    services: merge(current?.services, given.services.map(toService)),
    upstreams: merge(current?.upstreams, keepPresence(current?.upstreams, given.upstreams)),
    stores: merge(current?.stores, keepPresence(current?.stores, given.stores)),
    limits: { ...current?.limits, ...given.limits },
  };
  const newCredentials = Object.fromEntries(
    accounts.flatMap(({ configured, newCredential }) =>
      newCredential === undefined ? [] : [[configured.name, newCredential] as const],
    ),
  );
  return core.configuration
    .validate(JSON.parse(JSON.stringify(merged)))
    .map((configuration) => ({ configuration, newCredentials }));
}

/**
 * `newCredential` is a generated credential; it is set if none was given and none is configured.
 */
type GeneratedAccount = {
  configured: core.configuration.ClientAccount;
  newCredential: string | undefined;
};

/**
 * An account that is already configured keeps its context secret, because its stored context would
 * otherwise be lost. It keeps its credential unless another one is given.
 */
function toAccount(
  { name, credential, share }: answers.Answers['clientAccounts'][number],
  current: Configuration | undefined,
): GeneratedAccount {
  const existing = current?.clientAccounts.find((each) => each.name === name);
  const contextSecret = existing?.contextSecret ?? generateSecret();
  if (existing && credential === undefined) {
    return { configured: { ...existing, share }, newCredential: undefined };
  }
  const chosen = credential ?? generateSecret();
  const credentialDigest = core.accounts.digestCredential(chosen);
  const newCredential = credential === undefined ? chosen : undefined;
  return { configured: { name, credentialDigest, contextSecret, share }, newCredential };
}

const SECRET_BYTES = 32;

function generateSecret(): string {
  return crypto.randomBytes(SECRET_BYTES).toString('hex');
}

type Weights = core.configuration.ModelService['weights'];

/** Routing weights for each answer: milliseconds of waiting against recomputed tokens. */
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
      return core.results.assertNever(service);
  }
}

type Named = { name: string };
type WithPresence = Named & { presence: core.configuration.Presence };

/** Keeps entries that operators took out of service out, until operators put them back. */
function keepPresence(
  current: readonly WithPresence[] | undefined,
  added: readonly Named[],
): readonly Named[] {
  return added.map((each) => {
    const existing = current?.find(({ name }) => name === each.name);
    return existing ? { ...each, presence: existing.presence } : each;
  });
}

/**
 * Added entries replace current ones of the same name at the same position; others are appended.
 */
function merge(current: readonly Named[] | undefined, added: readonly Named[]): readonly Named[] {
  const replacements = new Map(added.map((each) => [each.name, each]));
  const kept = (current ?? []).map((each) => replacements.get(each.name) ?? each);
  const known = new Set(kept.map(({ name }) => name));
  return [...kept, ...added.filter(({ name }) => !known.has(name))];
}
