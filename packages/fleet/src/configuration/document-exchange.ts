/**
 * Exchanges configuration documents between peers. Each process announces the version that it has in
 * force to its peers, and fetches a newer one only once, from one of the peers that offer it. If that
 * peer still has the requester's version, it sends only the difference.
 */
import {
  applyDelta,
  compareVersions,
  encodeDelta,
  DocumentFetchPlanner,
  NO_VERSION,
} from '@poplarpick/decisions';
import type { DocumentVersion, DocumentFetch } from '@poplarpick/decisions';
import { describeError, Role } from '@poplarpick/kernel';
import type { Logger } from '@poplarpick/kernel';
import type { Link } from '../link/link.ts';
import type { LinkHub } from '../link/link-hub.ts';
import { CallMethod, NotificationMethod } from '../messages.ts';
import type { ConfigurationDocument, FetchConfigurationResult } from '../messages.ts';
import { ConfigurationMessageKind, computeVersion } from './configuration-task.ts';
import type { ConfigurationTask } from './configuration-task.ts';

/** Number of recent documents that a process retains as bases for differences. */
const RETAINED_DOCUMENTS = 3;

interface RetainedDocument {
  version: DocumentVersion;
  text: string;
}

/** A peer has not sent the document that it offered. */
export class FetchError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'FetchError';
  }
}

/** Options of a `DocumentExchange`. */
export interface DocumentExchangeOptions {
  task: ConfigurationTask;
  hub: LinkHub;
  log: Logger;
}

/** Exchanges the document in force with the peers of one process. */
export class DocumentExchange {
  private readonly task: ConfigurationTask;
  private readonly hub: LinkHub;
  private readonly log: Logger;
  private readonly planner = new DocumentFetchPlanner<Link>();
  private readonly respondedLinks = new Set<Link>();
  private retained: RetainedDocument[] = [];

  constructor({ task, hub, log }: DocumentExchangeOptions) {
    this.task = task;
    this.hub = hub;
    this.log = log;
    hub.onLink((link) => this.registerHandlers(link));
    hub.onPeerJoined(({ link }) => link.notify(NotificationMethod.Revision, this.task.version));
    hub.onPeerLost(({ link }) => this.removePeer(link));
    task.onChange(({ document, version }) => this.announce(document, version));
    task.onRefusal((version) => this.planner.markRefused(version, task.version));
  }

  /** Number of linked routers that have announced their version. */
  get respondedPeers(): number {
    return this.hub.peers(Role.Router).filter(({ link }) => this.respondedLinks.has(link)).length;
  }

  get isFetching(): boolean {
    return this.planner.isFetching;
  }

  private registerHandlers(link: Link): void {
    link.handleCall(CallMethod.FetchConfiguration, (have) => this.answerFetch(have));
    link.handleNotification(NotificationMethod.Revision, (version) => {
      this.respondedLinks.add(link);
      this.planner.recordOffer(link, version);
      this.fetchNext();
    });
  }

  private removePeer(link: Link): void {
    this.respondedLinks.delete(link);
    this.planner.removePeer(link);
    this.fetchNext();
  }

  private announce(document: ConfigurationDocument, version: DocumentVersion): void {
    this.planner.recordVersion(version);
    this.retained = [{ version, text: document.text }, ...this.retained].slice(
      0,
      RETAINED_DOCUMENTS,
    );
    for (const { link } of this.hub.peers()) link.notify(NotificationMethod.Revision, version);
  }

  private answerFetch(requesterVersion: DocumentVersion): FetchConfigurationResult {
    const { current } = this.task;
    if (current === undefined) return { version: NO_VERSION };
    const { version, document } = current;
    const base = this.findRetained(requesterVersion);
    if (base === undefined) return { version, text: document.text };
    return { version, delta: encodeDelta(base.text, document.text) };
  }

  private findRetained(version: DocumentVersion): RetainedDocument | undefined {
    return this.retained.find((entry) => compareVersions(entry.version, version) === 0);
  }

  private fetchNext(): void {
    const fetch = this.planner.startNext();
    if (fetch === undefined) return;
    this.fetch(fetch)
      .then(() => this.planner.completeFetch(fetch, true))
      .catch((error: unknown) => {
        this.planner.completeFetch(fetch, false);
        const remote = fetch.peer.remote;
        this.log.warn({ event: 'configuration.fetch_failed', remote, error: describeError(error) });
      })
      .finally(() => this.fetchNext());
  }

  private async fetch({ peer }: DocumentFetch<Link>): Promise<void> {
    const answer = await peer.call(CallMethod.FetchConfiguration, this.task.version);
    const document = this.readAnswer(answer);
    const version = computeVersion(document);
    if (compareVersions(version, answer.version) !== 0) {
      throw new FetchError('the document does not have the digest that the peer named');
    }
    if (!this.task.isPeerWaitOver) this.planner.recordVersion(version);
    const source = this.hub.findPeerByLink(peer)?.host ?? peer.remote;
    this.task.post({ kind: ConfigurationMessageKind.DocumentReceived, document, source });
  }

  private readAnswer({ version, text, delta }: FetchConfigurationResult): ConfigurationDocument {
    const { revision } = version;
    if (text !== undefined) return { revision, text };
    const base = this.task.current?.document.text;
    if (delta === undefined || base === undefined) throw new FetchError('the peer has no document');
    return { revision, text: applyDelta(base, delta) };
  }
}
