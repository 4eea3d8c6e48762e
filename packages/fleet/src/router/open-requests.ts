/** The requests of a router that have no final answer yet. */
import type { Peer } from '../link/link-hub.ts';
import type { AttemptReference } from '../messages.ts';
import type { RoutedRequest } from './routed-request.ts';

/** Finds open requests. */
export class OpenRequests {
  private readonly byId = new Map<string, RoutedRequest>();

  get size(): number {
    return this.byId.size;
  }

  add(request: RoutedRequest): void {
    this.byId.set(request.id, request);
  }

  delete(request: RoutedRequest): void {
    this.byId.delete(request.id);
  }

  get(id: string): RoutedRequest | undefined {
    return this.byId.get(id);
  }

  values(): Iterable<RoutedRequest> {
    return this.byId.values();
  }

  /** Requests that a sidecar's host holds. */
  listBySidecar(host: string): RoutedRequest[] {
    return [...this.byId.values()].filter((request) => request.sidecar?.host === host);
  }

  /** The request if `reference` names its current attempt and `peer` holds it. */
  findAttempt(peer: Peer, reference: AttemptReference): RoutedRequest | undefined {
    const request = this.byId.get(reference.request);
    return request?.isCurrentAttempt(peer, reference.attempt) === true ? request : undefined;
  }
}
