#include "duties/codec.h"

#include <array>
#include <limits>

#include "net/message_pack.h"

namespace aldersill::duties {
namespace {

// The optional fields of a load report, in the order of their bits in the presence mask.
constexpr std::array<std::optional<double> LoadReport::*, 7> kReportFields = {
    &LoadReport::running_jobs, &LoadReport::waiting,      &LoadReport::cpu_share, &LoadReport::service_ms,
    &LoadReport::served_per_s, &LoadReport::errors_per_s, &LoadReport::free_slots};
constexpr std::uint8_t kOutcomeCount = static_cast<std::uint8_t>(Outcome::kNotSent) + 1;

void Pack(MessagePacker& out, const Ballot& ballot) {
  out.pack(ballot.number);
  out.pack(ballot.name);
}
void Pack(MessagePacker& out, const Holder& holder) {
  out.pack(holder.name);
  out.pack(holder.epoch);
}
// Braced initializers are evaluated from left to right, which is the order of the fields in the message.
Ballot TakeBallot(MessageFields& in) { return {in.TakeUint53(), in.TakeName()}; }
Holder TakeHolder(MessageFields& in) { return {in.TakeName(), in.TakeUint53()}; }

// Encoded as the holder of a promise that has none, because every field of a message is always present.
const Holder kNoHolder{"-", 0};

void PackMessageFields(MessagePacker& out, const Prepare& prepare) { Pack(out, prepare.ballot); }
void PackMessageFields(MessagePacker& out, const Promise& promise) {
  Pack(out, promise.ballot);
  out.pack(promise.lease_holder.has_value());
  Pack(out, promise.lease_holder.value_or(kNoHolder));
  out.pack(promise.remaining);
}
void PackMessageFields(MessagePacker& out, const Propose& propose) {
  Pack(out, propose.ballot);
  Pack(out, propose.holder);
  out.pack(propose.timespan);
}
void PackMessageFields(MessagePacker& out, const Accepted& accepted) { Pack(out, accepted.ballot); }
void PackMessageFields(MessagePacker& out, const Rejected& rejected) {
  Pack(out, rejected.ballot);
  Pack(out, rejected.promised);
}
void PackMessageFields(MessagePacker& out, const Release& release) { Pack(out, release.holder); }

// The number of fields of each lease message, by its index in the variant. In the encoding, the duty's name
// and that index precede the fields.
constexpr std::uint32_t kFieldCounts[] = {2, 6, 5, 2, 4, 2};

Promise TakePromise(MessageFields& in) {
  Promise promise;
  promise.ballot = TakeBallot(in);
  const bool held = in.Take<bool>();
  const Holder holder = TakeHolder(in);
  if (held)
    promise.lease_holder = holder;
  promise.remaining = in.Take<Micros>();
  return promise;
}

LeaseMessage TakeMessage(std::uint32_t kind, MessageFields& in) {
  switch (kind) {
    case 0:
      return Prepare{TakeBallot(in)};
    case 1:
      return TakePromise(in);
    case 2:
      return Propose{TakeBallot(in), TakeHolder(in), in.Take<Micros>()};
    case 3:
      return Accepted{TakeBallot(in)};
    case 4:
      return Rejected{TakeBallot(in), TakeBallot(in)};
    default:
      return Release{TakeHolder(in)};
  }
}

}  // namespace

std::string EncodeResult(const ProbeResult& result) {
  return PackMessage([&](MessagePacker& out) {
    std::uint32_t present = 0;
    std::uint32_t mask = 0;
    for (std::size_t i = 0; i < kReportFields.size(); ++i) {
      if ((result.report.*kReportFields[i]).has_value()) {
        ++present;
        mask |= 1U << i;
      }
    }
    out.pack_array(5 + present);
    out.pack(result.stamp);
    out.pack(result.origin);
    out.pack(static_cast<std::uint8_t>(result.outcome));
    out.pack(result.elapsed);
    out.pack(mask);
    for (const auto field : kReportFields) {
      if ((result.report.*field).has_value())
        out.pack(static_cast<float>(*(result.report.*field)));
    }
  });
}

std::optional<ProbeResult> DecodeResult(const std::string& worker, std::string_view bytes) {
  return UnpackMessage<ProbeResult>(bytes, [&](const msgpack::object& object) {
    MessageFields in(object);
    ProbeResult result;
    result.worker = worker;
    result.stamp = in.Take<std::uint64_t>();
    result.origin = in.TakeName();
    const auto outcome = in.Take<std::uint8_t>();
    if (outcome >= kOutcomeCount)
      throw std::runtime_error("probe result: unknown outcome");
    result.outcome = static_cast<Outcome>(outcome);
    result.elapsed = in.Take<Micros>();
    const auto mask = in.Take<std::uint32_t>();
    for (std::size_t i = 0; i < kReportFields.size(); ++i) {
      if ((mask >> i & 1U) != 0)
        result.report.*kReportFields[i] = in.Take<float>();
    }
    in.ExpectEnd();
    return result;
  });
}

std::string EncodeMessage(const DutyMessage& message) {
  return PackMessage([&](MessagePacker& out) {
    const auto kind = static_cast<std::uint32_t>(message.message.index());
    out.pack_array(2 + kFieldCounts[kind]);
    out.pack(message.duty);
    out.pack(kind);
    std::visit([&](const auto& alternative) { PackMessageFields(out, alternative); }, message.message);
  });
}

std::optional<DutyMessage> DecodeMessage(std::string_view bytes) {
  return UnpackMessage<DutyMessage>(bytes, [](const msgpack::object& object) {
    MessageFields in(object);
    DutyMessage message;
    message.duty = in.TakeName();
    const auto kind = in.Take<std::uint32_t>();
    if (kind >= std::size(kFieldCounts))
      throw std::runtime_error("duty message: unknown kind of lease message");
    message.message = TakeMessage(kind, in);
    in.ExpectEnd();
    return message;
  });
}

}  // namespace aldersill::duties
