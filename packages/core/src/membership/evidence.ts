/**
 * What speaks for an instance besides the platform's lagging list: its own heartbeats, or those of a
 * relay that vouches for it. A relay hears its data centre and the relays of the others; every other
 * instance hears its relays.
 */
import type * as messages from '../messages/index.js';
import type * as state from './state.js';

/** An instance that was heard within this time is alive, whatever the list says. */
export const HEARD_WITHIN_MS = 6_000;

export function isFresh(heard: state.Heard | undefined, nowMs: number): boolean {
  return heard !== undefined && nowMs - heard.atMs <= HEARD_WITHIN_MS;
}

/** What is known of each listed instance but this one. */
export function membersOf(given: state.State, nowMs: number): readonly messages.Member[] {
  const vouchers = given.listed.filter(({ name }) => isFresh(given.heard[name], nowMs));
  const isNearVoucher = ({ dataCentre }: messages.ListedInstance) =>
    dataCentre === given.ownDataCentre;
  const near = vouchers.filter(isNearVoucher);
  return given.listed
    .filter(({ name }) => name !== given.ownName)
    .map((listed) => ({ ...listed, evidence: evidenceOf(given, listed, vouchers, near, nowMs) }));
}

function evidenceOf(
  given: state.State,
  { name, dataCentre }: messages.ListedInstance,
  vouchers: readonly messages.ListedInstance[],
  near: readonly messages.ListedInstance[],
  nowMs: number,
): messages.Evidence {
  if (isFresh(given.heard[name], nowMs)) return 'heard';
  if (nowMs < given.graceUntilMs) return 'listed';
  const isNear = dataCentre === given.ownDataCentre;
  if (given.isRelay) {
    if (isNear) return 'silent';
    const far = vouchers.filter((each) => each.dataCentre === dataCentre);
    return vouch(far, given, name, dataCentre);
  }
  if (near.length === 0) return isNear && given.heard[name] ? 'silent' : 'listed';
  return vouch(near, given, name, dataCentre);
}

/** One voucher that hears the instance is enough; none at all means that nothing is heard. */
function vouch(
  vouchers: readonly messages.ListedInstance[],
  { heard }: state.State,
  name: string,
  dataCentre: string,
): messages.Evidence {
  const isVouched = vouchers.some((voucher) => {
    const said = heard[voucher.name];
    return said && !said.silent.includes(name) && !said.cut.includes(dataCentre);
  });
  return isVouched ? 'heard' : 'silent';
}
