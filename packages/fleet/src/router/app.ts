/** Plug-in that runs the dispatcher of a router and connects it to the links and the configuration. */
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import type { Link } from '../link/link.ts';
import type { LinkHub, Peer } from '../link/link-hub.ts';
import { CallMethod, NotificationMethod } from '../messages.ts';
import type { ClaimResult, ResumeResult } from '../messages.ts';
import {
  configurationKey,
  dispatcherKey,
  linkHubKey,
  plannedStopsKey,
  statusBoardKey,
} from '../component-keys.ts';
import { Dispatcher } from './dispatcher.ts';
import { DispatcherMessageKind } from './dispatcher-messages.ts';

class RouterPlugin extends Plugin {
  override readonly name = 'router';
  override readonly roles = [Role.Router];
  override readonly requires = ['links', 'configuration', 'planned-stops'];
  private dispatcher: Dispatcher | undefined;

  override async start(kernel: Kernel): Promise<void> {
    const { clock, log, metrics } = kernel;
    const dispatcher = new Dispatcher({ clock, log, metrics });
    this.dispatcher = dispatcher;
    kernel.provide(dispatcherKey, dispatcher);
    kernel.resolve(statusBoardKey).add('requests', () => dispatcher.readStatus());
    kernel.resolve(configurationKey).onChange(({ configuration }) => {
      dispatcher.post({ kind: DispatcherMessageKind.Configure, configuration });
    });
    kernel.resolve(plannedStopsKey).onChange((marks) => {
      dispatcher.post({ kind: DispatcherMessageKind.PlannedStops, marks });
    });
    registerLinkHandlers(kernel.resolve(linkHubKey), dispatcher);
    return Promise.resolve();
  }

  override async drain(): Promise<void> {
    await this.dispatcher?.waitUntilIdle();
  }

  override async stop(): Promise<void> {
    this.dispatcher?.stop();
    return Promise.resolve();
  }
}

function registerLinkHandlers(hub: LinkHub, dispatcher: Dispatcher): void {
  hub.onLink((link) => {
    link.handleCall(CallMethod.Resume, (resume) => {
      const peer = getPeer(hub, link);
      return new Promise<ResumeResult>((answer) =>
        dispatcher.post({ kind: DispatcherMessageKind.Resume, peer, resume, answer }),
      );
    });
    link.handleCall(CallMethod.Claim, (claim) => {
      const peer = getPeer(hub, link);
      return new Promise<ClaimResult>((answer) =>
        dispatcher.post({ kind: DispatcherMessageKind.Claim, peer, claim, answer }),
      );
    });
    link.handleNotification(NotificationMethod.Frames, ({ frames }) => {
      dispatcher.post({ kind: DispatcherMessageKind.Frames, peer: getPeer(hub, link), frames });
    });
    link.handleNotification(NotificationMethod.End, (end) => {
      dispatcher.post({ kind: DispatcherMessageKind.End, peer: getPeer(hub, link), end });
    });
    link.handleNotification(NotificationMethod.Refuse, (refusal) => {
      dispatcher.post({ kind: DispatcherMessageKind.Refuse, peer: getPeer(hub, link), refusal });
    });
  });
  hub.onPeerLost((peer) => dispatcher.post({ kind: DispatcherMessageKind.LinkLost, peer }));
}

/** Returns the peer at the other end of a link. Throws if no hello was received on it yet. */
function getPeer(hub: LinkHub, link: Link): Peer {
  const peer = hub.findPeerByLink(link);
  if (peer === undefined) throw new Error('no hello was received on this link');
  return peer;
}

registerPlugin(() => new RouterPlugin());
