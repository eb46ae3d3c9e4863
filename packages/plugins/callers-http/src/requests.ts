/** Authenticates a received request and resolves its service, so that the exchange can run it. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as decode from './decode.js';

export type Accepted = { request: core.messages.CallerRequest; isStream: boolean };

export function accept(
  configuration: core.configuration.Configuration,
  received: decode.RawRequest,
  requestId: string,
): neverthrow.Result<Accepted, core.results.Failure> {
  return decode
    .parseCredential(received.headers)
    .andThen((credential) => findAccount(configuration, credential))
    .andThen((clientAccount) =>
      decode
        .decode(received)
        .andThen((decoded) => toRequest(configuration, clientAccount, decoded, requestId)),
    );
}

function findAccount(configuration: core.configuration.Configuration, credential: string) {
  const account = core.accounts.authenticate(configuration.clientAccounts, credential);
  return account
    ? neverthrow.ok(account)
    : neverthrow.err(core.results.failure('unauthorized', 'unknown credential'));
}

function toRequest(
  configuration: core.configuration.Configuration,
  clientAccount: core.configuration.ClientAccount,
  decoded: decode.DecodedRequest,
  requestId: string,
): neverthrow.Result<Accepted, core.results.Failure> {
  const service = configuration.services.find(({ name }) => name === decoded.service);
  switch (decoded.kind) {
    case 'prompt': {
      if (service?.kind !== 'model') return unknownService(decoded.service);
      const { prompt, maxTokens, offset, isStream } = decoded;
      const request: core.messages.CallerRequest = {
        kind: 'prompt',
        requestId,
        clientAccount,
        service,
        prompt,
        maxTokens,
        offset,
      };
      return neverthrow.ok({ request, isStream });
    }
    case 'plain': {
      if (service?.kind !== 'plain') return unknownService(decoded.service);
      return neverthrow.ok({
        request: { ...decoded, requestId, clientAccount, service },
        isStream: false,
      });
    }
    default:
      return core.results.assertNever(decoded);
  }
}

function unknownService(name: string) {
  return neverthrow.err(core.results.failure('unknownService', name));
}
