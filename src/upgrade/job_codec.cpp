#include "upgrade/job_codec.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace aldersill::upgrade {
namespace {

using Json = nlohmann::json;

constexpr const char* kFormat = "aldersill-job-1";

// Encodes as binary, because bodies and responses may hold any bytes and a JSON string must be UTF-8.
Json EncodeBytes(const std::string& bytes) {
  return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string DecodeBytes(const Json& json) {
  const auto& bytes = json.get_binary();
  return {bytes.begin(), bytes.end()};
}

Json EncodeRunning(const RunningAttempt& running) {
  return {
      {"worker", running.worker}, {"address", running.address}, {"received", EncodeBytes(running.received)}};
}

RunningAttempt DecodeRunning(const Json& json) {
  return {json.at("worker").get<std::string>(), json.at("address").get<std::string>(),
          DecodeBytes(json.at("received"))};
}

Job DecodeRequest(const Json& json) {
  Job job;
  job.id = json.at("id").get<std::string>();
  job.job_class = json.at("class").get<std::string>();
  job.tenant = json.at("tenant").get<std::string>();
  job.idempotency_key = json.at("key").get<std::string>();
  job.method = json.at("method").get<std::string>();
  job.target = json.at("target").get<std::string>();
  job.content_type = json.at("type").get<std::string>();
  job.body = DecodeBytes(json.at("body"));
  job.time_left = json.at("time_left").get<Micros>();
  job.slots = json.at("slots").get<int>();
  job.is_retry = json.at("retry").get<bool>();
  if (json.contains("subject"))
    job.subject = json.at("subject").get<std::uint64_t>();
  if (json.contains("work"))
    job.work = json.at("work").get<Micros>();
  return job;
}

}  // namespace

std::string EncodeJob(const TransferredJob& transferred) {
  const Job& job = transferred.job;
  Json json = {{"format", kFormat},
               {"id", job.id},
               {"class", job.job_class},
               {"tenant", job.tenant},
               {"key", job.idempotency_key},
               {"method", job.method},
               {"target", job.target},
               {"type", job.content_type},
               {"body", EncodeBytes(job.body)},
               {"time_left", job.time_left},
               {"slots", job.slots},
               {"retry", job.is_retry},
               {"may_have_run", transferred.may_have_run},
               {"keep_alive", transferred.keep_alive},
               {"head_only", transferred.head_only}};
  if (job.subject)
    json["subject"] = *job.subject;
  if (job.work)
    json["work"] = *job.work;
  if (transferred.running)
    json["running"] = EncodeRunning(*transferred.running);
  const std::vector<std::uint8_t> bytes = Json::to_msgpack(json);
  return {bytes.begin(), bytes.end()};
}

std::optional<TransferredJob> DecodeJob(std::string_view bytes) {
  try {
    const Json json = Json::from_msgpack(bytes.begin(), bytes.end());
    if (json.at("format") != kFormat)
      return std::nullopt;
    TransferredJob transferred;
    transferred.job = DecodeRequest(json);
    transferred.may_have_run = json.at("may_have_run").get<bool>();
    transferred.keep_alive = json.at("keep_alive").get<bool>();
    transferred.head_only = json.at("head_only").get<bool>();
    if (json.contains("running"))
      transferred.running = DecodeRunning(json.at("running"));
    return transferred;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace aldersill::upgrade
