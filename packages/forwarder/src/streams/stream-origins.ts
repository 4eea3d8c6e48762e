/**
 * What this router knows of the origins of streams: those that it has begun or was told, the versions that were
 * listed lately, and the prompts that endpoints had cached when it started.
 */
import {
  CacheSurvey,
  hashSegment,
  NOTHING_CACHED,
  isProvedOrigin,
  originOf,
  StreamOriginTable,
  VersionHistory,
} from '@poplarpick/decisions';
import type {
  CacheFinding,
  Endpoint,
  HashedSegment,
  Prompt,
  Route,
  RoutingTable,
  StreamKey,
  StreamKeys,
  StreamOrigin,
  VersionHistoryReport,
} from '@poplarpick/decisions';
import type { Clock } from '@poplarpick/kernel';
import { ListConfirmations } from '../endpoints/list-confirmations.ts';
import { PendingOrigins } from './pending-origins.ts';
import { RouteMoves } from './route-moves.ts';
import { UntoldStreams } from './untold-streams.ts';

/**
 * Number of timeouts of its route after which a stream is over for certain: its own, and that of a caller's
 * resumption of which no router remembers anything.
 */
const TIMEOUTS_PER_STREAM = 2;

/**
 * Age of the list of endpoints, in ms, up to which this router takes it that the others can still infer the origin of
 * a stream that begins.
 */
export const FRESH_LIST_MS = 3_000;

/** Called with a stream that has begun and whose origin other routers can't infer; `keepMs` is how long it matters. */
export type OriginListener = (keys: StreamKeys, origin: StreamOrigin, keepMs: number) => void;

/** Options of `StreamOrigins`. */
export interface StreamOriginsOptions {
  clock: Clock;
  /** The whole system starts for the first time. */
  isFirstStart: boolean;
  /** The endpoints that are listed now. */
  endpoints: () => Endpoint[];
  /** Whether an endpoint tells what it has cached; by default all do. */
  listsPrompts?: (endpoint: Endpoint) => boolean;
  /** Whether the process of another router has ended since the start of this one; by default none has. */
  hasRouterEnded?: () => boolean;
}

/** Finds the origins of streams. */
export class StreamOrigins {
  /** When the list of endpoints was complete. */
  readonly confirmations: ListConfirmations;
  /** Streams whose origins are being proved. */
  readonly pending: PendingOrigins;
  private readonly options: StreamOriginsOptions;
  private readonly table = new StreamOriginTable();
  private readonly history: VersionHistory;
  /** Undefined on the first start of the whole system: no stream has begun before. */
  private readonly survey: CacheSurvey | undefined;
  private readonly routeMoves = new RouteMoves();
  private readonly untold = new UntoldStreams();
  private readonly listeners: OriginListener[] = [];

  constructor(options: StreamOriginsOptions) {
    this.options = options;
    const { clock, isFirstStart } = options;
    this.confirmations = new ListConfirmations({ clock });
    this.pending = new PendingOrigins(clock);
    this.history = new VersionHistory({ isFirstStart });
    if (!isFirstStart) {
      this.survey = new CacheSurvey({
        endpoints: () => this.listingEndpoints(),
        startedAt: clock.monotonic(),
      });
    }
  }

  /** Time after which every stream of the routes of a table is over for certain, in ms. */
  longestHorizonMs({ routes }: RoutingTable): number {
    return Math.max(0, ...routes.map(streamHorizonMs));
  }

  /** Whether endpoints may still tell the lists of cached prompts that this router asks for after its start. */
  get awaitsLists(): boolean {
    return this.findAwaited().length > 0;
  }

  /** The endpoints whose lists of cached prompts may still come. */
  findAwaited(): Endpoint[] {
    const { survey } = this;
    if (survey === undefined) return [];
    return this.listingEndpoints().filter((endpoint) => survey.awaits(endpoint));
  }

  /** Calls `listener` for each stream whose origin other routers can't infer. */
  onUninferable(listener: OriginListener): void {
    this.listeners.push(listener);
  }

  /** Remembers the origin of a stream that this router has begun or gone on with. */
  recordBegun(keys: StreamKeys, origin: StreamOrigin, route: Route): void {
    const keepMs = streamHorizonMs(route);
    for (const key of [keys.byRequest, keys.byPrompt])
      if (key !== undefined) this.record(key, origin, keepMs);
    if (isProvedOrigin(origin) && this.isInferable(route)) {
      this.untold.record({ keys, origin, route, validUntil: this.now() + keepMs });
      return;
    }
    this.tell(keys, origin, keepMs);
  }

  /** Records that a stream has ended whole, so that no caller resumes it. */
  recordCompleted(keys: StreamKeys): void {
    this.untold.forget(keys);
  }

  /**
   * Tells the listeners of at most `limit` streams that have begun while every router could infer their origins, and
   * whose origins nobody can infer any more. Returns their number.
   */
  tellUninferable(limit: number): number {
    const now = this.now();
    const isInferable = (route: Route): boolean => this.isInferable(route);
    const streams = this.untold.take({ isInferable, limit, now });
    // The whole horizon rather than what is left of it, so that streams of a route share their records.
    for (const { keys, origin, route } of streams) this.tell(keys, origin, streamHorizonMs(route));
    return streams.length;
  }

  /** Remembers the origin of the stream with a key for `keepMs`. */
  record(key: StreamKey, origin: StreamOrigin, keepMs: number): void {
    this.table.record(key, origin, keepMs, this.now());
  }

  /** The origin that is remembered for the stream with a key. */
  findRecorded(key: StreamKey): StreamOrigin | undefined {
    return this.table.find(key, this.now());
  }

  /**
   * The origin of every stream of a route that had begun when the list of endpoints was last complete, if there is
   * only one. What has begun since may be of a version that this router hasn't seen. Undefined if the list is older
   * than the timeout of the route.
   */
  findOnlyOrigin(route: Route): StreamOrigin | undefined {
    return this.inferOrigin(route, route.timeoutMs);
  }

  /**
   * What the lists of cached prompts tell of the origin of the stream with a prompt, see `CacheSurvey`. `since` is the
   * monotonic time in ms at which the list of endpoints has to have been complete.
   */
  findCached(prompt: Prompt | undefined, route: Route, since: number): CacheFinding {
    const last = prompt?.segments.at(-1);
    if (prompt === undefined || last === undefined || this.survey === undefined)
      return NOTHING_CACHED;
    // That router may have begun the stream after the lists were told.
    if (this.options.hasRouterEnded?.() === true) return NOTHING_CACHED;
    const hash = hashSegment(prompt.model, last.id);
    const isListWhole = this.confirmations.confirmedAt >= since;
    const horizonMs = streamHorizonMs(route);
    return this.survey.find({ hash, horizonMs, isListWhole, now: this.now() });
  }

  /** Records the segments that an endpoint lists as cached. */
  recordListing(endpoint: Endpoint, segments: readonly HashedSegment[]): void {
    this.survey?.recordListing(endpoint, segments, originOf(endpoint), this.now());
  }

  /** Records that no list of an endpoint will come. */
  recordListEnded(endpoint: Endpoint): void {
    this.survey?.recordEnded(endpoint);
  }

  /** Records that the list of endpoints was complete at `at`, see `VersionHistory.confirm`. */
  confirmEndpoints(at: number, isContinuous: boolean): void {
    const isBegin = this.history.confirm(at, isContinuous);
    if (isBegin) this.confirmations.recordReturn();
    this.confirmations.record(at);
  }

  recordDeparted(endpoint: Endpoint): void {
    this.history.recordDeparted(endpoint, this.now());
    if (this.listsPrompts(endpoint)) this.survey?.recordDeparted(endpoint);
  }

  recordRoutes(table: RoutingTable): void {
    this.routeMoves.recordTable(table, this.now());
  }

  /** Forgets how far back the versions are known, since the host was suspended. */
  recordSuspension(): void {
    this.history.reset(this.now());
  }

  buildReport(): VersionHistoryReport {
    return this.history.buildReport(this.options.endpoints(), this.now());
  }

  applyReport(report: VersionHistoryReport): void {
    this.history.applyReport(report, this.now());
  }

  private listingEndpoints(): Endpoint[] {
    return this.options.endpoints().filter((endpoint) => this.listsPrompts(endpoint));
  }

  private listsPrompts(endpoint: Endpoint): boolean {
    return this.options.listsPrompts?.(endpoint) ?? true;
  }

  private tell(keys: StreamKeys, origin: StreamOrigin, keepMs: number): void {
    for (const listener of this.listeners) listener(keys, origin, keepMs);
  }

  /** Whether every router can infer the origin of a stream of the route that begins now. */
  private isInferable(route: Route): boolean {
    return this.inferOrigin(route, FRESH_LIST_MS) !== undefined;
  }

  private inferOrigin(route: Route, maxListAgeMs: number): StreamOrigin | undefined {
    const { targets } = route;
    const pool = targets[0]?.pool;
    const horizonMs = streamHorizonMs(route);
    const now = this.now();
    if (pool === undefined || targets.length > 1) return undefined;
    if (this.routeMoves.hasMoved(route, now - horizonMs)) return undefined;
    const endpoints = this.options.endpoints();
    const version = this.history.findOnlyVersion({ pool, endpoints, horizonMs, maxListAgeMs, now });
    return version === undefined ? undefined : { pool, version };
  }

  private now(): number {
    return this.options.clock.monotonic();
  }
}

/** Time after which a stream of a route is over for certain, in ms. */
function streamHorizonMs({ timeoutMs }: Route): number {
  return TIMEOUTS_PER_STREAM * timeoutMs;
}
