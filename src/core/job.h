// Jobs, the clients that wait for them, and the attempts that run them.
#ifndef ALDERSILL_SRC_CORE_JOB_H_
#define ALDERSILL_SRC_CORE_JOB_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "core/micros.h"

namespace aldersill {

// A service client's request at the frontend that received it. The frontend chooses `number`; the core
// returns it with the answer.
struct ClientRef {
  enum class Frontend { kHttp, kFaktory } frontend = Frontend::kHttp;
  std::uint64_t number = 0;
  auto operator<=>(const ClientRef&) const = default;
};

enum class AttemptId : std::uint64_t {};  // unique over the life of the process

// What a service client asks for. The client's frontend decodes it, and the transport that sends it encodes
// it.
struct Job {
  std::string id;  // chosen by the client: Req-Id header or Faktory jid
  std::string job_class;
  std::string tenant;
  std::optional<std::uint64_t> subject;  // requests of one subject share data that a worker may have cached
  std::string idempotency_key;
  // Whether the client keeps `id` across its retries, so that the class's repeat rule applies to it.
  bool has_idempotent_id = false;
  std::string method = "POST";
  std::string target;
  std::string content_type;
  std::string body;
  Micros time_left = 0;        // time until the client gives up
  std::optional<Micros> work;  // the client's estimate of the running time
  int slots = 1;
  bool is_retry = false;
};

// A job that may be transferred to another process of this dispatcher.
struct InFlightJob {
  ClientRef client;
  std::shared_ptr<const Job> job;
  Micros time_left = 0;
  bool may_have_run = false;         // whether the job may have run in an attempt before `running`
  std::optional<AttemptId> running;  // the open attempt; empty before the first one
  std::string worker;                // the worker of `running`
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_CORE_JOB_H_
