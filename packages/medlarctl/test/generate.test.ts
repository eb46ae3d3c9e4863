import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as medlarctl from 'medlarctl';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('generated configuration');

type Configuration = core.configuration.Configuration;

function generated(
  answers: Record<string, unknown>,
  current?: Configuration,
): medlarctl.generator.Generated {
  const given = fixtures.unwrapValue(medlarctl.answers.parse(answers));
  return fixtures.unwrapValue(medlarctl.generator.generate(given, current));
}

suite('an account without a credential gets one, and only its digest is configured', () => {
  const answers = fixtures.aCompletedQuestionnaire({ clientAccounts: [{ name: 'gamma' }] });
  const { configuration, newCredentials } = generated(answers);
  const digest = core.accounts.digestCredential(newCredentials.gamma ?? '');
  assert.is(configuration.clientAccounts[0]?.credentialDigest, digest);
  assert.not.match(JSON.stringify(configuration), newCredentials.gamma ?? 'no credential');
});

suite('an account that is already configured keeps its credential and its context secret', () => {
  const current = fixtures.aConfiguration();
  const answers = fixtures.aCompletedQuestionnaire({
    clientAccounts: [{ name: 'alpha', share: 5 }],
  });
  const { configuration, newCredentials } = generated(answers, current);
  assert.equal(newCredentials, {});
  assert.equal(configuration.clientAccounts, [fixtures.aClientAccount({ share: 5 })]);
});

suite('entries that operators took out of service stay out', () => {
  const current = fixtures.aConfiguration({
    dataCentres: [{ name: 'dc-1', region: 'region-1', presence: 'out' }],
    services: [fixtures.aModelService({ name: 'survey' })],
    upstreams: [fixtures.anUpstream({ name: 'engine-9', services: ['survey'], presence: 'out' })],
    stores: [fixtures.aStore({ name: 'store-9', presence: 'out' })],
  });
  const { configuration } = generated(fixtures.aCompletedQuestionnaire(), current);
  assert.is(configuration.dataCentres[0]?.presence, 'out');
  assert.is(configuration.upstreams[0]?.presence, 'out');
  assert.is(configuration.stores[0]?.presence, 'out');
});

suite('entries of other teams stay unchanged', () => {
  const current = fixtures.aConfiguration();
  const { configuration } = generated(fixtures.aCompletedQuestionnaire(), current);
  assert.is(configuration.generation, current.generation + 1);
  const kept = configuration.upstreams.filter(({ name }) => name !== 'engine-9');
  assert.equal(kept, current.upstreams);
});

suite.run();
