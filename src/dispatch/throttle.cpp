#include "dispatch/throttle.h"

#include <algorithm>

namespace aldersill::dispatch {
namespace {

// Tokens that became due longer ago than this are not issued, which limits the burst after a long pause.
constexpr Micros kLongestTokenDebt = 30 * static_cast<Micros>(kSecond);
// Combined share of the token stream for all tenants that are missing from the settings, if these list any.
constexpr double kUnlistedShare = 1e-6;

}  // namespace

Throttle::Throttle(Context& context, RequestTable& requests, const RateControl& rate,
                   const JobPricing& pricing)
    : context_(context), requests_(requests), rate_(rate), pricing_(pricing) {
  const Settings& settings = context.settings();
  for (const TenantSettings& tenant : settings.tenants) {
    tenant_names_.emplace(tenant.name, static_cast<int>(banks_.size()));
    banks_.emplace_back().share = tenant.share;
  }
  // If the settings list tenants, jobs of unlisted tenants get only the tokens that the listed ones do not
  // use.
  banks_.emplace_back().share = settings.tenants.empty() ? 1.0 : kUnlistedShare;
  for (const ClassSettings& job_class : settings.classes)
    shortest_target_ = std::min(shortest_target_, job_class.target);
}

void Throttle::Begin() {
  // Banks start half full: full ones would allow a burst after a restart, and empty ones would reject jobs
  // that a lightly loaded fleet could run. The random phase prevents nodes that start together from releasing
  // buffered jobs at the same times.
  const TokenStream stream = Stream();
  for (TokenBank& bank : banks_)
    bank.tokens = bank.Capacity(stream) / 2;
  next_token_ = context_.now() + static_cast<Micros>(context_.random().Uniform() * kSecond / rate_.rate());
}

Throttle::Admission Throttle::Admit(Request* request) {
  TokenBank& bank = banks_[request->tenant];
  bank.highest_price = std::max(bank.highest_price, request->price);
  if (bank.Counter(Stream()) < request->price)
    return Admission::kRejected;
  const int paid_tokens = std::min(bank.tokens, request->price);
  bank.tokens -= paid_tokens;
  request->owed = request->price - paid_tokens;
  bank.owed += request->owed;
  if (request->owed == 0)
    return Admission::kPaid;
  bank.buffered.push_back(request->id);
  return Admission::kBuffered;
}

void Throttle::ForgetOldTokens() { next_token_ = std::max(next_token_, context_.now() - kLongestTokenDebt); }

Request* Throttle::IssueToken() {
  next_token_ += std::max<Micros>(1, static_cast<Micros>(kSecond / rate_.rate()));
  // Stride scheduling: the token goes to the tenant with the lowest next pass.
  const auto next_pass = [](const TokenBank& bank) { return bank.pass + 1.0 / bank.share; };
  const auto scheduled_bank = std::ranges::min_element(banks_, {}, next_pass);
  scheduled_bank->pass = next_pass(*scheduled_bank);
  const TokenStream stream = Stream();
  const bool can_use_token =
      !scheduled_bank->buffered.empty() || scheduled_bank->tokens < scheduled_bank->Capacity(stream);
  Request* paid_request = AddToken(static_cast<int>(scheduled_bank - banks_.begin()));
  // If the tenant is idle and its bank is full, the token goes to the tenant with the lowest counter. During
  // an overload it is dropped instead, because tenants would otherwise get more than their shares.
  if (can_use_token || rate_.IsOverloaded())
    return paid_request;
  const auto counter = [&stream](const TokenBank& bank) { return bank.Counter(stream); };
  const auto lowest_bank = std::ranges::min_element(banks_, {}, counter);
  return AddToken(static_cast<int>(lowest_bank - banks_.begin()));
}

Request* Throttle::AddToken(int tenant) {
  TokenBank& bank = banks_[tenant];
  if (bank.buffered.empty()) {
    bank.tokens = std::min(bank.tokens + 1, bank.Capacity(Stream()));
    return nullptr;
  }
  Request& first_buffered = requests_.At(bank.buffered.front());
  --bank.owed;
  if (--first_buffered.owed > 0)
    return nullptr;
  bank.buffered.pop_front();
  return &first_buffered;
}

bool Throttle::IsOverdue(const Request& request) const {
  const ClassSettings& job_class = context_.settings().classes[request.job_class];
  return context_.Since(request.arrived) >= job_class.target / 2.0 || context_.now() >= request.deadline;
}

int Throttle::RemoveFromBuffer(const Request& request) {
  TokenBank& bank = banks_[request.tenant];
  const auto found = std::find(bank.buffered.begin(), bank.buffered.end(), request.id);
  if (found == bank.buffered.end())
    return 0;
  bank.buffered.erase(found);
  bank.owed -= request.owed;
  return request.price - request.owed;
}

Micros Throttle::RetryAfter(const Request& request) {
  const Settings& settings = context_.settings();
  if (!settings.retry_after)
    return 0;
  const TokenBank& bank = banks_[request.tenant];
  const double micros_until_paid = (request.price + bank.owed) * kSecond / (rate_.rate() * bank.share);
  return std::min(settings.max_retry_after,
                  static_cast<Micros>(micros_until_paid * (0.5 + context_.random().Uniform())));
}

void Throttle::ScheduleWakeUp() {
  const auto is_empty = [](const TokenBank& bank) { return bank.buffered.empty(); };
  if (wake_up_at_ > context_.now() || std::ranges::all_of(banks_, is_empty))
    return;
  wake_up_at_ = std::min(next_token_, context_.now() + shortest_target_ / 4 + 1);
  context_.StartTimer(wake_up_at_ - context_.now(), TimerKind::kTokenIssue);
}

}  // namespace aldersill::dispatch
