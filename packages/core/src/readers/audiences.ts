/** Who is told about the work of this instance, depending on who reads for whom. */
import type * as peerWork from '../fleet/peer-work.js';
import type * as peerUpdates from '../messages/peer-updates.js';
import * as results from '../results/index.js';
import type * as readers from './state.js';

const NOBODY: peerUpdates.Audiences = { own: [], group: [], fleet: [] };

export function sharingOf({ source, groups }: readers.State): peerWork.Sharing {
  if (!groups.isShared) return 'with-all';
  switch (source.kind) {
    case 'peer':
      return 'through-reader';
    case 'self':
    case 'undecided':
      return 'as-reader';
    default:
      return results.assertNever(source);
  }
}

/** For `with-all`, the task that sends the updates chooses the receivers itself. */
export function audiencesOf({ source, groups, followers }: readers.State): peerUpdates.Audiences {
  switch (source.kind) {
    case 'peer':
      return { ...NOBODY, own: [source.name] };
    case 'self':
      return { ...NOBODY, group: groups.otherReaders, fleet: [...followers.keys()] };
    case 'undecided':
      return NOBODY;
    default:
      return results.assertNever(source);
  }
}
