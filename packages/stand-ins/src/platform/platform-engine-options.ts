/** Options of the stand-in for a platform engine. */

/** A pause within a stream. */
export interface EngineSilence {
  afterEvent: number;
  durationMs: number;
  /** Ends the pause early; it is not ended early by default. */
  endedBy?: Promise<void>;
}

/** Options of a `PlatformEngine`. */
export interface PlatformEngineOptions {
  id: string;
  /** Body of an answer without events; `body` by default. */
  answer?: string;
  /** Number of events of a stream. */
  events?: number;
  /** Pause between two events, in milliseconds. */
  eventPauseMs?: number;
  /** Bytes by which each event is padded; none by default. */
  eventBytes?: number;
  /** Events after which a stream read from the start is reset, within the next event; never by default. */
  resetAfterEvent?: number;
  /** Event after which a stream read from the start pauses once, and for how long; never by default. */
  silence?: EngineSilence;
  /** Prompt segment that crashes the engine shortly after it has begun to answer; none by default. */
  poisonSegment?: string;
  /** Body of requests that crash the engine in the same way; none by default. */
  poisonBody?: string;
  /** Called with each request that is to be run, and whether it crashes the engine. */
  onRequest?: (isPoison: boolean) => void;
  /** Called when the engine has crashed. */
  onCrash?: () => void;
  /** Initial value of `PlatformEngine.born`; none by default. */
  born?: number;
  /** Entries of the list of cached prompts that `GET /v1/kv-list` returns, besides those of the runs. */
  cachedPrompts?: unknown[];
}
