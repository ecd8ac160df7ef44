#include "fleet/dispatchers.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

#include "net/steady_clock.h"

namespace aldersill::fleet {
namespace {

using Kind = Observation::Kind;

constexpr int kReadinessTimeoutSeconds = 1;

std::string LocalAddress(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

Dispatchers::Dispatchers(const RunContext& context, FleetDiscovery* discovery, ClusterMembership* cluster,
                         std::string program)
    : context_(context),
      discovery_(discovery),
      cluster_(cluster),
      program_(std::move(program)),
      processes_(context.table.dispatchers) {
  for (Process& process : processes_)
    process.owner = this;
}

void Dispatchers::Configure(int dispatcher) {
  Process& process = processes_[dispatcher];
  process.config = context_.deployment.config;
  process.config["name"] = "d" + std::to_string(dispatcher);
  process.config["discovery"] = LocalAddress(discovery_->port(dispatcher));
  const int fleet_size = context_.table.configured_fleet_size;
  process.config["settings"]["peersTotal"] = fleet_size > 0 ? fleet_size : context_.table.dispatchers;
  // The cached list of a machine may be old, so the dispatcher gets the list from the start of the run. It
  // gets none after discovery has moved, because the versions differ at the new address.
  if (!discovery_->HasMoved(dispatcher))
    process.config["known"] = {
        {"version", 1}, {"full", true}, {"servers", discovery_->InitialList(dispatcher)}};
  process.operator_settings = cluster_ != nullptr ? cluster_->OperatorSettings(dispatcher) : nlohmann::json{};
  // The rig does not read the log's pipe during the run, so the log must fit into the pipe.
  process.operator_settings["logging"] = {{"lines_per_second", 1}};
}

void Dispatchers::Start(int dispatcher) {
  Configure(dispatcher);
  if (cluster_ != nullptr)
    cluster_->ProcessStarting(dispatcher);
  Process& process = processes_[dispatcher];
  process.restarted_at = std::exchange(process.started_before, true) ? SteadyNow() : 0;
  process.readiness_request_open = false;
  process.daemon = std::make_unique<tests::DaemonUnderTest>(process.config, process.operator_settings,
                                                            "ALDERSILL_SETTINGS", " serving ", program_);
  if (!process.daemon->ports().contains("http"))
    throw std::runtime_error("dispatcher " + std::to_string(dispatcher) + " did not report an HTTP port");
  if (cluster_ != nullptr)
    cluster_->ProcessStarted(dispatcher, process.daemon->ports().at("membership"));
  process.state = ProcessState::kUp;
  context_.recorder.Record({.kind = Kind::kDispatcherStarted, .dispatcher = dispatcher});
  discovery_->RecordAgentState(dispatcher);
}

void Dispatchers::Kill(int dispatcher) {
  context_.recorder.Record({.kind = Kind::kDispatcherKilled, .dispatcher = dispatcher});
  processes_[dispatcher].state = ProcessState::kDown;
  ++processes_[dispatcher].kills;
  processes_[dispatcher].daemon.reset();
}

void Dispatchers::BeginTermination(int dispatcher) {
  processes_[dispatcher].state = ProcessState::kTerminating;
}

void Dispatchers::SendTerminate(int dispatcher) {
  context_.recorder.Record({.kind = Kind::kDispatcherTerminated, .dispatcher = dispatcher});
  processes_[dispatcher].daemon->Signal(SIGTERM);
}

void Dispatchers::KillIfTerminating(int dispatcher) {
  if (processes_[dispatcher].state != ProcessState::kTerminating || !IsRunning(dispatcher))
    return;
  Kill(dispatcher);
  Start(dispatcher);
}

void Dispatchers::Pause(int dispatcher) {
  processes_[dispatcher].state = ProcessState::kPaused;
  processes_[dispatcher].daemon->Suspend();
}

void Dispatchers::Resume(int dispatcher) {
  processes_[dispatcher].daemon->Signal(SIGCONT);
  processes_[dispatcher].state = ProcessState::kUp;
  context_.recorder.Record({.kind = Kind::kDispatcherResumed, .dispatcher = dispatcher});
}

void Dispatchers::Reload(int dispatcher) {
  Process& process = processes_[dispatcher];
  process.config["discovery"] = LocalAddress(discovery_->port(dispatcher));
  process.daemon->WriteConfig(process.config.dump(), process.operator_settings);
  context_.recorder.Record({.kind = Kind::kDispatcherReloaded,
                            .dispatcher = dispatcher,
                            .discovery_address = discovery_->address_number(dispatcher)});
  process.daemon->Signal(SIGHUP);
}

void Dispatchers::Poll() {
  for (int dispatcher = 0; dispatcher < context_.table.dispatchers; ++dispatcher) {
    Process& process = processes_[dispatcher];
    if (process.daemon == nullptr)
      continue;
    RequestReadiness(&process);
    const std::optional<int> status = process.daemon->ExitCodeIfEnded();
    if (!status)
      continue;
    if (process.state != ProcessState::kTerminating || *status != 0)
      ++unexpected_exits_;
    process.daemon.reset();
    Start(dispatcher);
  }
}

// Sends a readiness request to a restarted dispatcher that is not ready yet, unless one is open.
void Dispatchers::RequestReadiness(Process* process) {
  if (process->restarted_at == 0 || process->readiness_request_open)
    return;
  process->readiness_request_open = true;
  process->readiness_connection.reset(
      evhttp_connection_base_new(context_.base, nullptr, "127.0.0.1", process->daemon->ports().at("http")));
  evhttp_connection_set_timeout(process->readiness_connection.get(), kReadinessTimeoutSeconds);
  evhttp_request* request = evhttp_request_new(&Dispatchers::OnReadiness, process);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "origin.svc");
  if (evhttp_make_request(process->readiness_connection.get(), request, EVHTTP_REQ_GET, "/-/ready") != 0)
    process->readiness_request_open = false;
}

void Dispatchers::OnReadiness(evhttp_request* request, void* arg) {
  auto* process = static_cast<Process*>(arg);
  process->readiness_request_open = false;
  if (request == nullptr || evhttp_request_get_response_code(request) != 200)
    return;
  const Micros startup_time = SteadyNow() - std::exchange(process->restarted_at, 0);
  process->owner->context_.recorder.Record({.kind = Kind::kRestartFinished, .startup_time = startup_time});
}

bool Dispatchers::AllUp() const {
  return std::ranges::all_of(processes_,
                             [](const Process& process) { return process.state == ProcessState::kUp; });
}

bool Dispatchers::AllRestartsFinished() const {
  const Rules& rules = context_.deployment.rules;
  return std::ranges::all_of(processes_, [&rules](const Process& process) {
    return process.restarted_at == 0 ||
           SteadyNow() - process.restarted_at > rules.startup_bound + rules.slack;
  });
}

void Dispatchers::RecordUnfinishedRestarts() {
  for (const Process& process : processes_) {
    if (process.restarted_at != 0)
      context_.recorder.Record({.kind = Kind::kRestartFinished});
  }
}

void Dispatchers::StopAll() {
  for (Process& process : processes_)
    process.daemon.reset();
}

}  // namespace aldersill::fleet
