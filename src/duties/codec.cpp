#include "duties/codec.h"

#include <array>
#include <limits>

#include "net/message_pack.h"

namespace aldersill::duties {
namespace {

constexpr std::array<std::optional<double> LoadReport::*, 7> kFigures = {
    &LoadReport::in_work,      &LoadReport::waiting,      &LoadReport::cpu_share, &LoadReport::service_ms,
    &LoadReport::served_per_s, &LoadReport::errors_per_s, &LoadReport::free_slots};
constexpr std::uint8_t kOutcomes = static_cast<std::uint8_t>(Outcome::kNotSent) + 1;

void Put(MessagePacker& out, const Ballot& b) { out.pack(b.number), out.pack(b.name); }
void Put(MessagePacker& out, const Holder& h) { out.pack(h.name), out.pack(h.epoch); }
Ballot TakeBallot(MessageFields& in) {
  Ballot b;
  b.number = in.Number53(), b.name = in.Name();
  return b;
}
Holder TakeHolder(MessageFields& in) {
  Holder h;
  h.name = in.Name(), h.epoch = in.Number53();
  return h;
}

void PutMessage(MessagePacker& out, const Prepare& m) { Put(out, m.ballot); }
void PutMessage(MessagePacker& out, const Promise& m) {
  Put(out, m.ballot), out.pack(m.held_by.has_value());
  Put(out, m.held_by.value_or(Holder{"-", 0})), out.pack(m.left);
}
void PutMessage(MessagePacker& out, const Propose& m) {
  Put(out, m.ballot), Put(out, m.holder), out.pack(m.lease);
}
void PutMessage(MessagePacker& out, const Accepted& m) { Put(out, m.ballot); }
void PutMessage(MessagePacker& out, const Rejected& m) { Put(out, m.ballot), Put(out, m.highest); }
void PutMessage(MessagePacker& out, const Release& m) { Put(out, m.holder); }

// How many fields each has, by its place in the variant; two more go before: the duty and the kind.
constexpr std::uint32_t kFields[] = {2, 6, 5, 2, 4, 2};

LeaseMessage TakeMessage(std::uint32_t kind, MessageFields& in) {
  switch (kind) {
    case 0:
      return Prepare{TakeBallot(in)};
    case 1: {
      Promise m;
      m.ballot = TakeBallot(in);
      const bool held = in.Take<bool>();
      const Holder holder = TakeHolder(in);
      if (held)
        m.held_by = holder;
      m.left = in.Take<Micros>();
      return m;
    }
    case 2: {
      Propose m;
      m.ballot = TakeBallot(in), m.holder = TakeHolder(in), m.lease = in.Take<Micros>();
      return m;
    }
    case 3:
      return Accepted{TakeBallot(in)};
    case 4: {
      Rejected m;
      m.ballot = TakeBallot(in), m.highest = TakeBallot(in);
      return m;
    }
    default:
      return Release{TakeHolder(in)};
  }
}

}  // namespace

std::string EncodeResult(const ProbeResult& result) {
  return PackMessage([&](MessagePacker& out) {
    std::uint32_t given = 0, mask = 0;
    for (std::size_t i = 0; i < kFigures.size(); ++i) {
      if ((result.report.*kFigures[i]).has_value())
        ++given, mask |= 1U << i;
    }
    out.pack_array(5 + given);
    out.pack(result.stamp), out.pack(result.origin), out.pack(static_cast<std::uint8_t>(result.outcome));
    out.pack(result.elapsed), out.pack(mask);
    for (const auto figure : kFigures) {
      if ((result.report.*figure).has_value())
        out.pack(static_cast<float>(*(result.report.*figure)));
    }
  });
}

std::optional<ProbeResult> DecodeResult(const std::string& worker, std::string_view bytes) {
  return UnpackMessage<ProbeResult>(bytes, [&](const msgpack::object& object) {
    MessageFields in(object);
    ProbeResult result;
    result.worker = worker;
    result.stamp = in.Take<std::uint64_t>();
    result.origin = in.Name();
    const auto outcome = in.Take<std::uint8_t>();
    if (outcome >= kOutcomes)
      throw std::runtime_error("not an outcome");
    result.outcome = static_cast<Outcome>(outcome);
    result.elapsed = in.Take<Micros>();
    const auto mask = in.Take<std::uint32_t>();
    for (std::size_t i = 0; i < kFigures.size(); ++i) {
      if ((mask >> i & 1U) != 0)
        result.report.*kFigures[i] = in.Take<float>();
    }
    in.End();
    return result;
  });
}

std::string EncodeMessage(const DutyMessage& message) {
  return PackMessage([&](MessagePacker& out) {
    const auto kind = static_cast<std::uint32_t>(message.message.index());
    out.pack_array(2 + kFields[kind]);
    out.pack(message.duty), out.pack(kind);
    std::visit([&](const auto& m) { PutMessage(out, m); }, message.message);
  });
}

std::optional<DutyMessage> DecodeMessage(std::string_view bytes) {
  return UnpackMessage<DutyMessage>(bytes, [](const msgpack::object& object) {
    MessageFields in(object);
    DutyMessage message;
    message.duty = in.Name();
    const auto kind = in.Take<std::uint32_t>();
    if (kind >= std::size(kFields))
      throw std::runtime_error("not a kind");
    message.message = TakeMessage(kind, in);
    in.End();
    return message;
  });
}

}  // namespace aldersill::duties
