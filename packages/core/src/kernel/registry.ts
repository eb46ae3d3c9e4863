/**
 * The registry of plug-ins, the only collection at module level. It holds descriptions and no
 * running state: plug-ins register themselves while the binary's imports are evaluated.
 */
import type * as settings from '../settings/schema.js';
import type * as plugin from './plugin.js';

const registered = new Map<string, plugin.Plugin<never>>();

/**
 * Called by each plug-in's package on import. Throws if the name is already registered, a defect.
 */
export function register<Settings = settings.Settings>(added: plugin.Plugin<Settings>): void {
  if (registered.has(added.name)) throw new Error(`plug-in ${added.name} is registered twice`);
  registered.set(added.name, added);
}

/** The plug-ins in order of registration. A binary imports only those that match its settings. */
export function plugins<Settings = settings.Settings>(): readonly plugin.Plugin<Settings>[] {
  return [...registered.values()] as readonly plugin.Plugin<Settings>[];
}
