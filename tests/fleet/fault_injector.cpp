#include "fleet/fault_injector.h"

#include <algorithm>

#include "net/steady_clock.h"

namespace aldersill::fleet {
namespace {

constexpr int kResetIntervalMs = 20;
// Iterations of the event loop before SIGTERM. They let clients write out the requests that they have begun
// to send, even on a slow machine, because a dispatcher need not answer a request that arrives after SIGTERM.
constexpr int kTurnsBeforeSigterm = 10;
// The earliest time of SIGKILL after SIGTERM: the longest deadline, which counts as at most 3 s, plus 0.7 s.
constexpr int kEarliestKillMs = 3'700;

}  // namespace

void FaultInjector::Inject(Fault fault) {
  // A pause that is longer than a lease stops the lease holder instead of the fault's dispatcher.
  if (fault.kind == FaultKind::kPause && fault.for_ms >= kLongerThanLease && targets_.cluster != nullptr)
    fault.dispatcher = targets_.cluster->LeaseHolder().value_or(fault.dispatcher);
  if (NeedsRunningProcess(fault.kind) && !targets_.dispatchers->IsUp(fault.dispatcher))
    return;
  ++injected_;
  switch (GroupOf(fault.kind)) {
    case FaultGroup::kProcess:
      return InjectProcessFault(fault);
    case FaultGroup::kLink:
      return InjectLinkFault(fault);
    case FaultGroup::kDiscovery:
      return InjectDiscoveryFault(fault);
    case FaultGroup::kClient:
      return InjectClientFault(fault);
    case FaultGroup::kDatagram:
      return InjectDatagramFault(fault);
  }
}

void FaultInjector::InjectProcessFault(const Fault& fault) {
  if (fault.kind == FaultKind::kKill) {
    KillAndRestart(fault);
  } else if (fault.kind == FaultKind::kTerminate) {
    Terminate(fault.dispatcher);
  } else if (fault.kind == FaultKind::kRestart) {
    Restart(fault.dispatcher);
  } else if (fault.kind == FaultKind::kReload) {
    targets_.dispatchers->ReloadUnchanged(fault.dispatcher);
  } else if (fault.kind == FaultKind::kPause) {
    PauseAndResume(fault);
  } else {
    targets_.workers->HangUntil(fault.worker, SteadyNow() + fault.for_ms * kMillisecond);
  }
}

void FaultInjector::KillAndRestart(const Fault& fault) {
  targets_.dispatchers->Kill(fault.dispatcher);
  context_.scheduler.RunIn(
      fault.for_ms, [dispatchers = targets_.dispatchers, fault] { dispatchers->Start(fault.dispatcher); });
}

void FaultInjector::Terminate(int dispatcher) {
  targets_.dispatchers->BeginTermination(dispatcher);
  context_.scheduler.RunAfterTurns(kTurnsBeforeSigterm, [dispatchers = targets_.dispatchers, dispatcher] {
    dispatchers->SendTerminate(dispatcher);
  });
}

void FaultInjector::Restart(int dispatcher) {
  Terminate(dispatcher);
  context_.scheduler.RunIn(kEarliestKillMs, [dispatchers = targets_.dispatchers, dispatcher] {
    dispatchers->KillIfTerminating(dispatcher);
  });
}

void FaultInjector::PauseAndResume(const Fault& fault) {
  targets_.dispatchers->Pause(fault.dispatcher);
  context_.scheduler.RunIn(
      fault.for_ms, [dispatchers = targets_.dispatchers, fault] { dispatchers->Resume(fault.dispatcher); });
}

void FaultInjector::InjectLinkFault(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kCutToWorker:
      return OnLinks(
          fault, [](Relay* link) { link->CutToWorker(true); }, [](Relay* link) { link->CutToWorker(false); });
    case FaultKind::kCutFromWorker:
      return OnLinks(
          fault, [](Relay* link) { link->CutFromWorker(true); },
          [](Relay* link) { link->CutFromWorker(false); });
    case FaultKind::kDelay:
      return OnLinks(
          fault, [&](Relay* link) { link->Delay(fault.amount * kMillisecond); },
          [](Relay* link) { link->Delay(0); });
    case FaultKind::kRateLimit:
      return OnLinks(
          fault, [&](Relay* link) { link->LimitRate(std::max(1, fault.amount)); },
          [](Relay* link) { link->LimitRate(0); });
    case FaultKind::kDelayedConnects:
      return OnLinks(
          fault, [](Relay* link) { link->DelayConnects(true); },
          [](Relay* link) { link->DelayConnects(false); });
    default:
      return ResetConnections(fault);
  }
}

void FaultInjector::ResetConnections(const Fault& fault) {
  for (int ms = 0; ms <= fault.for_ms; ms += kResetIntervalMs)
    context_.scheduler.RunIn(ms, [links = targets_.links, fault] {
      links->ForEach(fault.dispatcher, fault.worker, [](Relay* link) { link->Reset(); });
    });
}

void FaultInjector::InjectDiscoveryFault(const Fault& fault) {
  using FailureMode = StandInDiscovery::FailureMode;
  switch (fault.kind) {
    case FaultKind::kDrain:
      return DrainWorker(fault);
    case FaultKind::kIgnoredDiscoveryCalls:
      return targets_.discovery->IgnorePendingCalls(fault.dispatcher);
    case FaultKind::kDiscoveryMove:
      return MoveDiscovery(fault);
    case FaultKind::kDiscoveryErrors:
      return FailDiscoveryCalls(fault, FailureMode::kErrors);
    case FaultKind::kDiscoveryLosses:
      return FailDiscoveryCalls(fault, FailureMode::kLosses);
    case FaultKind::kDiscoveryRefused:
      return FailDiscoveryCalls(fault, FailureMode::kRefused);
    default:
      targets_.discovery->BeginOutage();
      context_.scheduler.RunIn(fault.for_ms, [discovery = targets_.discovery] { discovery->EndOutage(); });
  }
}

void FaultInjector::DrainWorker(const Fault& fault) {
  const int worker = fault.worker;
  if (!draining_workers_.insert(worker).second)
    return;
  targets_.discovery->ChangeWorker(worker, kDraining);
  context_.scheduler.RunIn(fault.for_ms / 2, [discovery = targets_.discovery, worker] {
    discovery->ChangeWorker(worker, kDeleted);
  });
  context_.scheduler.RunIn(fault.for_ms, [this, worker] {
    targets_.discovery->ChangeWorker(worker, kServing);
    draining_workers_.erase(worker);
  });
}

void FaultInjector::MoveDiscovery(const Fault& fault) {
  StandInDiscovery* previous = targets_.discovery->Move(fault.dispatcher);
  targets_.dispatchers->Reload(fault.dispatcher);
  previous->Close();
  context_.scheduler.RunIn(fault.for_ms, [previous] {
    previous->SetDown(true);
    previous->ResetOpenCalls();
  });
}

void FaultInjector::FailDiscoveryCalls(const Fault& fault, StandInDiscovery::FailureMode mode) {
  if (context_.deployment.lists_pushed)
    return;  // Calls to a local agent do not fail.
  StandInDiscovery* failing = targets_.discovery->BeginFailure(fault.dispatcher, mode);
  context_.scheduler.RunIn(fault.for_ms, [discovery = targets_.discovery, fault, failing] {
    discovery->EndFailure(fault.dispatcher, failing);
  });
}

void FaultInjector::InjectClientFault(const Fault& fault) {
  if (fault.kind == FaultKind::kClientsLeave) {
    const Departure departure = {.reset = fault.amount % 2 == 1, .floods_before = fault.amount >= 2};
    targets_.clients->LeaveAll(fault.dispatcher, departure);
  } else if (fault.kind == FaultKind::kRequestsDuringShutdown) {
    targets_.clients->SendDuringShutdown(fault.dispatcher, fault.amount, fault.for_ms);
  } else if (fault.kind == FaultKind::kSlowRequests) {
    targets_.slow_clients->Add(fault.dispatcher, fault.amount, fault.for_ms);
  } else {
    targets_.idle_clients->Add(fault.dispatcher, fault.amount, fault.for_ms);
  }
}

void FaultInjector::InjectDatagramFault(const Fault& fault) {
  if (targets_.cluster == nullptr)
    return;
  switch (fault.kind) {
    case FaultKind::kUdpCut:
      return OnDatagrams(
          fault, [](Impairment* link) { link->cut = true; }, [](Impairment* link) { link->cut = false; });
    case FaultKind::kUdpLoss:
      return OnDatagrams(
          fault, [&](Impairment* link) { link->loss_percent = fault.amount; },
          [](Impairment* link) { link->loss_percent = 0; });
    case FaultKind::kUdpDelay:
      return OnDatagrams(
          fault, [&](Impairment* link) { link->delay = fault.amount * kMillisecond; },
          [](Impairment* link) { link->delay = 0; });
    case FaultKind::kUdpReorder:
      return OnDatagrams(
          fault, [&](Impairment* link) { link->jitter = fault.amount * kMillisecond; },
          [](Impairment* link) { link->jitter = 0; });
    case FaultKind::kUdpDuplicate:
      return OnDatagrams(
          fault, [&](Impairment* link) { link->duplicate_percent = fault.amount; },
          [](Impairment* link) { link->duplicate_percent = 0; });
    default:
      return SendRandomDatagrams(fault);
  }
}

void FaultInjector::SendRandomDatagrams(const Fault& fault) {
  for (int index = 0; index < fault.amount; ++index)
    context_.scheduler.RunIn(index * fault.for_ms / fault.amount, [this, fault, index] {
      const int peer = fault.worker >= 0 ? fault.worker : index % context_.table.dispatchers;
      targets_.cluster->links().SendRandomDatagram(fault.dispatcher, peer);
    });
}

void FaultInjector::OnLinks(const Fault& fault, const LinkAction& begin, const LinkAction& end) {
  targets_.links->ForEach(fault.dispatcher, fault.worker, [&](Relay* link) {
    begin(link);
    context_.scheduler.RunIn(fault.for_ms, [link, end] { end(link); });
  });
}

void FaultInjector::OnDatagrams(const Fault& fault, const ImpairmentAction& begin,
                                const ImpairmentAction& end) {
  for (int peer = 0; peer < context_.table.dispatchers; ++peer) {
    if (fault.worker >= 0 && peer != fault.worker)
      continue;
    Impairment* impairment = &targets_.cluster->links().impairment(fault.dispatcher, peer);
    begin(impairment);
    context_.scheduler.RunIn(fault.for_ms, [impairment, end] { end(impairment); });
  }
}

}  // namespace aldersill::fleet
