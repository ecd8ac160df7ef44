// Computes a 64-bit digest of the reducer's output: its effects, its counters and its in-flight jobs.
#ifndef ALDERSILL_TESTS_DAEMON_EFFECT_DIGEST_H_
#define ALDERSILL_TESTS_DAEMON_EFFECT_DIGEST_H_

#include <cstdint>
#include <string>
#include <type_traits>
#include <variant>

#include "core/counters.h"
#include "core/types.h"

namespace aldersill {

// Computes a 64-bit FNV-1a hash over integers, and over strings preceded by their lengths.
class EffectDigest {
 public:
  void Add(std::uint64_t value) {
    for (int byte = 0; byte < 8; ++byte)
      AddByte(static_cast<unsigned char>(value >> (8 * byte)));
  }
  template <typename Integer>
  requires std::is_integral_v<Integer> || std::is_enum_v<Integer>
  void Add(Integer value) { Add(static_cast<std::uint64_t>(value)); }
  void Add(const std::string& text) {
    Add(text.size());
    for (const char c : text)
      AddByte(static_cast<unsigned char>(c));
  }
  void Add(const ClientRef& client) {
    Add(client.frontend);
    Add(client.number);
  }
  void Add(const TimerKey& key) {
    Add(key.kind);
    Add(key.id);
    Add(key.dispatcher);
  }
  void Add(const Job& job) {
    for (const std::string* text : {&job.id, &job.job_class, &job.tenant, &job.idempotency_key, &job.method,
                                    &job.target, &job.content_type, &job.body})
      Add(*text);
    Add(job.subject.has_value());
    Add(job.subject.value_or(0));
    Add(job.has_idempotent_id);
    Add(job.time_left);
    Add(job.work.has_value());
    Add(job.work.value_or(0));
    Add(job.slots);
    Add(job.is_retry);
  }
  void Add(const StartAttempt& start) {
    Add(start.attempt);
    Add(start.worker);
    Add(start.address);
    Add(start.source);
    Add(*start.job);
    Add(start.time_left);
    Add(start.client);
  }
  void Add(const ResumeAttempt& resume) {
    Add(resume.attempt);
    Add(*resume.job);
    Add(resume.transfer_number);
  }
  void Add(const SendAttempt& send) {
    Add(send.attempt);
    Add(send.source);
    Add(send.time_left);
  }
  void Add(const StopAttempt& stop) {
    Add(stop.attempt);
    Add(stop.source);
  }
  void Add(const Served& served) { Add(served.result); }
  void Add(const Rejection& rejection) {
    Add(rejection.reason);
    Add(rejection.retry_after);
  }
  void Add(const Failure& failure) { Add(failure.reason); }
  void Add(const Answer& answer) {
    Add(answer.client);
    Add(answer.answer.index());
    std::visit([this](const auto& final_answer) { Add(final_answer); }, answer.answer);
  }
  void Add(const SetTimer& timer) {
    Add(timer.key);
    Add(timer.delay);
  }
  void Add(const ClearTimer& timer) { Add(timer.key); }
  void Add(const ProbeWorker& probe) {
    Add(probe.worker);
    Add(probe.address);
  }
  void Add(const WatchEndpointList&) {}
  void Add(const LogLine& line) { Add(line.text); }
  void Add(const JobIdClosed& closed) { Add(closed.id); }
  void Add(const Effect& effect) {
    Add(effect.index());
    std::visit([this](const auto& typed_effect) { Add(typed_effect); }, effect);
  }
  void Add(const Counters& counters) {
    for (const ClassCounters& of_class : counters.classes) {
      Add(of_class.name);
      for (const std::uint64_t count : {of_class.received, of_class.served, of_class.rejected,
                                        of_class.failed, of_class.clients_left, of_class.served_ms})
        Add(count);
    }
    for (const std::uint64_t count : counters.attempts)
      Add(count);
    for (const auto& [status, count] : counters.rejected_by_frontend) {
      Add(status);
      Add(count);
    }
    for (const std::uint64_t count :
         {counters.attempts_started, counters.attempts_sent, counters.repeats_rejected,
          counters.reconfigurations, counters.reconfigurations_refused, counters.endpoint_list_updates,
          counters.endpoint_list_failures, counters.open_requests, counters.open_attempts,
          counters.waiting_clients, counters.ready_workers, counters.draining_workers})
      Add(count);
  }
  void Add(const InFlightJob& job) {
    Add(job.client);
    Add(*job.job);
    Add(job.time_left);
    Add(job.may_have_run);
    Add(job.running.has_value());
    Add(job.running.value_or(AttemptId{}));
    Add(job.worker);
  }

  std::uint64_t value() const { return value_; }

 private:
  void AddByte(unsigned char byte) { value_ = (value_ ^ byte) * 0x100000001b3ULL; }

  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

}  // namespace aldersill

#endif  // ALDERSILL_TESTS_DAEMON_EFFECT_DIGEST_H_
