#include "config/json_field.h"

#include <cmath>
#include <limits>

#include "config/errors.h"

namespace aldersill {
namespace {

// Below 2^53, up to which a double represents every integer exactly.
constexpr double kMaxInteger = 9e15;

}  // namespace

JsonField JsonField::operator[](const std::string& name) const {
  if (json_ != nullptr && !json_->is_object())
    ThrowBadValue("must be an object");
  const std::string path = path_.empty() ? name : path_ + "." + name;
  const bool has_value = json_ != nullptr && json_->contains(name) && !(*json_)[name].is_null();
  return {has_value ? &(*json_)[name] : nullptr, path};
}

std::vector<JsonField> JsonField::Items() const {
  std::vector<JsonField> items;
  if (json_ == nullptr)
    return items;
  if (!json_->is_array())
    ThrowBadValue("must be a list");
  for (std::size_t i = 0; i < json_->size(); ++i)
    items.emplace_back(&(*json_)[i], path_ + "[" + std::to_string(i) + "]");
  return items;
}

void JsonField::ThrowBadValue(const std::string& problem) const {
  throw BadValue(path_, path_ + " " + problem);
}

void JsonField::ThrowMissing(const std::string& wanted) const {
  throw MissingField(path_, path_ + " is missing: it must be " + wanted);
}

const JsonField& JsonField::Required(const std::string& wanted) const {
  if (!present())
    ThrowMissing(wanted);
  return *this;
}

std::string JsonField::Text() const {
  if (json_ == nullptr)
    ThrowMissing("a string");
  if (!json_->is_string())
    ThrowBadValue("must be a string");
  return json_->get<std::string>();
}

std::string JsonField::Text(const std::string& fallback) const { return present() ? Text() : fallback; }

bool JsonField::Bool(bool fallback) const {
  if (!present())
    return fallback;
  if (!json_->is_boolean())
    ThrowBadValue("must be true or false");
  return json_->get<bool>();
}

double JsonField::Number(double fallback) const {
  if (!present())
    return fallback;
  if (!json_->is_number())
    ThrowBadValue("must be a number");
  return json_->get<double>();
}

double JsonField::NonNegative(double fallback) const {
  const double value = Number(fallback);
  if (!(value >= 0.0))
    ThrowBadValue("must not be negative");
  return value;
}

double JsonField::Fraction(double fallback) const {
  const double value = Number(fallback);
  if (!(value >= 0.0 && value <= 1.0))
    ThrowBadValue("must lie between 0 and 1");
  return value;
}

std::int64_t JsonField::Integer(std::int64_t fallback) const {
  const double value = Number(static_cast<double>(fallback));
  if (!(std::abs(value) < kMaxInteger))
    ThrowBadValue("must be a whole number below 9e15");
  return std::llround(value);
}

int JsonField::Int(int fallback) const {
  const std::int64_t value = Integer(fallback);
  if (value < std::numeric_limits<int>::min() || value > std::numeric_limits<int>::max())
    ThrowBadValue("is out of range");
  return static_cast<int>(value);
}

int JsonField::IntAtLeast(int minimum, int fallback) const {
  const int value = Int(fallback);
  if (value < minimum)
    ThrowBadValue("must be at least " + std::to_string(minimum));
  return value;
}

std::int64_t JsonField::Duration(std::int64_t fallback) const {
  const std::int64_t value = Integer(fallback);
  if (value < 0)
    ThrowBadValue("must not be negative");
  return value;
}

std::int64_t JsonField::PositiveDuration(std::int64_t fallback) const {
  const std::int64_t value = Integer(fallback);
  if (value <= 0)
    ThrowBadValue("must be positive");
  return value;
}

}  // namespace aldersill
