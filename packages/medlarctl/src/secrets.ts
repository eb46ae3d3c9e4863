/** Redacts the secrets of a configuration for display and logs. */
import type * as core from '@medlarweir/core';

export const REDACTED = '(secret)';

export function redact(
  configuration: core.configuration.Configuration,
): core.configuration.Configuration {
  const clientAccounts = configuration.clientAccounts.map((account) => ({
    ...account,
    credentialDigest: REDACTED,
    contextSecret: REDACTED,
  }));
  return { ...configuration, clientAccounts };
}
