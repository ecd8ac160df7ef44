#include "fleet/worker_stand_ins.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "fleet/discovery.h"
#include "net/event_ptr.h"
#include "net/listener.h"
#include "net/steady_clock.h"
#include "net/timer.h"

namespace aldersill::fleet {
namespace {

using Kind = Observation::Kind;

constexpr std::uint64_t kRandomStream = 3;
// On average, one job in this many fails, so that retries occur even without an injected fault.
constexpr std::uint32_t kJobsPerFailure = 10;
constexpr double kReportedServiceMs = 30.0;  // service time in every load report

}  // namespace

WorkerStandIns::WorkerStandIns(const RunContext& context)
    : context_(context), random_(context.table.seed, kRandomStream) {
  for (int worker = 0; worker < context_.table.workers; ++worker)
    AddWorker(worker);
}

void WorkerStandIns::AddWorker(int number) {
  auto& worker = workers_.emplace_back(std::make_unique<Worker>());
  worker->owner = this;
  worker->number = number;
  worker->server.reset(evhttp_new(context_.base));
  auto* socket = evhttp_bind_socket_with_handle(worker->server.get(), "127.0.0.1", 0);
  if (socket == nullptr)
    throw std::runtime_error("worker " + std::to_string(number) + " cannot listen on 127.0.0.1");
  worker->port = static_cast<std::uint16_t>(LocalPort(evhttp_bound_socket_get_fd(socket)));
  evhttp_set_gencb(worker->server.get(), &WorkerStandIns::OnRequest, worker.get());
}

void WorkerStandIns::OnRequest(evhttp_request* request, void* arg) {
  auto* worker = static_cast<Worker*>(arg);
  const auto* headers = evhttp_request_get_input_headers(request);
  const char* id = evhttp_find_header(headers, "Req-Id");
  const char* job_class = evhttp_find_header(headers, "Req-Kind");
  if (id == nullptr || job_class == nullptr) {
    worker->owner->AnswerHealthCheck(*worker, request);
  } else {
    worker->owner->StartJob(worker, id, job_class, request);
  }
}

void WorkerStandIns::AnswerHealthCheck(const Worker& worker, evhttp_request* request) {
  const std::string report = LoadReport(worker).dump();
  const EventPtr<evbuffer> body(evbuffer_new());
  evbuffer_add(body.get(), report.data(), report.size());
  evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
  evhttp_send_reply(request, 200, "OK", body.get());
}

void WorkerStandIns::StartJob(Worker* worker, const std::string& id, const std::string& job_class,
                              evhttp_request* request) {
  context_.recorder.Record(
      {.kind = Kind::kJobStarted, .request = id, .job_class = job_class, .worker = worker->number});
  Job* job = &jobs_.emplace_back();
  job->worker = worker;
  job->id = id;
  job->result = id + " at " + std::to_string(worker->number) + " run " + std::to_string(++runs_);
  job->fails = random_(kJobsPerFailure) == 0;
  job->duration_ms = DrawDurationMs(job_class);
  job->request = request;
  // The connection may end before the job does.
  evhttp_request_set_on_complete_cb(request, nullptr, nullptr);
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), &WorkerStandIns::OnConnectionEnd,
                                job);
  if (SteadyNow() < worker->hangs_until)
    return;
  ++worker->running_jobs;
  evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
  evhttp_send_reply_start(request, 200, "OK");
  if (context_.deployment.workers_report_progress) {
    SendLine(job, {{"id", id}, {"state", "started"}});
    ScheduleProgress(job);
  }
  ScheduleCompletion(job);
}

int WorkerStandIns::DrawDurationMs(const std::string& job_class) {
  const auto found = std::ranges::find(context_.deployment.classes, job_class, &JobClass::name);
  if (found == context_.deployment.classes.end())
    throw std::runtime_error("a worker received a job of the unknown class " + job_class);
  return found->min_ms + static_cast<int>(random_(found->max_ms - found->min_ms));
}

void WorkerStandIns::ScheduleProgress(Job* job) {
  job->progress = std::make_unique<Timer>(context_.base, [this, job] {
    SendLine(job, {{"id", job->id}, {"state", "running"}, {"share", 0.5}});
  });
  job->progress->Set(job->duration_ms * kMillisecond / 2);
}

void WorkerStandIns::ScheduleCompletion(Job* job) {
  job->completion = std::make_unique<Timer>(context_.base, [this, job] { CompleteJob(job); });
  job->completion->Set(job->duration_ms * kMillisecond);
}

void WorkerStandIns::CompleteJob(Job* job) {
  --job->worker->running_jobs;
  if (!job->fails)
    context_.recorder.Record({.kind = Kind::kJobResult, .request = job->id, .text = job->result});
  nlohmann::json last = {{"id", job->id}, {"state", job->fails ? "failed" : "done"}, {"result", job->result}};
  if (!context_.deployment.load_from_health_checks_only)
    last["load"] = LoadReport(*job->worker);
  SendLine(job, last);
  if (evhttp_request* request = std::exchange(job->request, nullptr))
    evhttp_send_reply_end(request);
}

// Sends one line of the job's answer if the connection is still open.
void WorkerStandIns::SendLine(Job* job, const nlohmann::json& message) {
  if (job->request == nullptr)
    return;
  const std::string line = message.dump() + "\n";
  const EventPtr<evbuffer> chunk(evbuffer_new());
  evbuffer_add(chunk.get(), line.data(), line.size());
  evhttp_send_reply_chunk(job->request, chunk.get());
}

void WorkerStandIns::OnConnectionEnd(evhttp_connection*, void* arg) {
  FreeUnownedRequest(std::exchange(static_cast<Job*>(arg)->request, nullptr));
}

nlohmann::json WorkerStandIns::LoadReport(const Worker& worker) const {
  const double slots = context_.deployment.worker_slots;
  const double free = std::max(0.0, slots - worker.running_jobs);
  return {{"svc_ms", kReportedServiceMs}, {"cpu_share", 1.0 - free / slots}, {"x0", free}, {"x1", free}};
}

}  // namespace aldersill::fleet
