/**
 * The register of plug-ins. It is the one collection at module level, and holds descriptions only:
 * plug-ins add themselves while the binary's imports are read, and running state never gets here.
 */
import type * as settings from '../settings/schema.js';
import type * as plugin from './plugin.js';

const registered = new Map<string, plugin.Plugin<never>>();

/** Called by each plug-in's package on import. Throws on a name taken twice, which is a defect. */
export function register<Given = settings.Settings>(added: plugin.Plugin<Given>): void {
  if (registered.has(added.name)) throw new Error(`plug-in ${added.name} is registered twice`);
  registered.set(added.name, added);
}

/** The plug-ins in the order of their registration. A binary imports those for its settings only. */
export function plugins<Given = settings.Settings>(): readonly plugin.Plugin<Given>[] {
  return [...registered.values()] as readonly plugin.Plugin<Given>[];
}
