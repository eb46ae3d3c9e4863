/** Types of a simulated instance's environment and of its observable state. */
import type * as core from '@medlarweir/core';

import type * as linksOf from './links.js';
import type * as platforms from './platform.js';
import type * as timelines from './timeline.js';

export type World = {
  timeline: timelines.Timeline;
  links: linksOf.Links;
  platform: platforms.Platform;
  instances: Map<string, Instance>;
  /** Called whenever an instance adopts a generation; `run` numbers its incarnation. */
  onAdopted(name: string, run: number, generation: number): void;
};

export type Instance = {
  name: string;
  dataCentre: string;
  isRunning(): boolean;
  generation(): number;
  isConfirmed(): boolean;
  members(): readonly core.messages.Member[];
  traffic(): Traffic;
  receive(text: string): void;
  start(): void;
  /** Ends the process: its timers and messages are discarded. */
  stop(): void;
};

/** Messages and bytes, sent and received, including platform calls; encoded as JSON. */
export type Traffic = { messages: number; bytes: number };
