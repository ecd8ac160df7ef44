// What is to ride along on packets: each item a bounded number of times, those told least often first, and of
// these the newest. SWIM's dissemination buffer (Das, Gupta, Motivala 2002, section 4.1).
#ifndef ALDERSILL_SRC_MEMBERSHIP_SPREAD_QUEUE_H_
#define ALDERSILL_SRC_MEMBERSHIP_SPREAD_QUEUE_H_

#include <cstdint>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace aldersill::membership {

template <typename T>
class SpreadQueue {
 public:
  explicit SpreadQueue(std::size_t most) : most_(most) {}

  // In place of what stands under the key. Over its bound the queue gives up what was told most often.
  void Put(const std::string& key, T value, std::size_t size) {
    Remove(key);
    const Place place{0, -static_cast<std::int64_t>(++puts_), key};
    items_.emplace(key, Item{std::move(value), size, place});
    order_.insert(place);
    if (items_.size() <= most_)
      return;
    const std::string last = std::get<2>(*std::prev(order_.end()));
    Remove(last);
    ++given_up_;
  }

  void Remove(const std::string& key) {
    const auto found = items_.find(key);
    if (found == items_.end())
      return;
    order_.erase(found->second.place);
    items_.erase(found);
  }

  // As many as fit into `bytes`; each is done with once it has been taken `times`. What is left of `bytes`
  // comes back.
  std::size_t Take(std::size_t bytes, int times, std::vector<T>* taken) {
    std::vector<std::string> keys;
    for (const Place& place : order_) {
      const Item& item = items_.at(std::get<2>(place));
      if (item.size > bytes)
        break;
      bytes -= item.size;
      taken->push_back(item.value);
      keys.push_back(std::get<2>(place));
    }
    for (const std::string& key : keys) {
      Item& item = items_.at(key);
      order_.erase(item.place);
      if (++std::get<0>(item.place) >= times) {
        items_.erase(key);
      } else {
        order_.insert(item.place);
      }
    }
    return bytes;
  }

  std::size_t size() const { return items_.size(); }
  std::uint64_t given_up() const { return given_up_; }

 private:
  using Place = std::tuple<int, std::int64_t, std::string>;  // times told, newest first
  struct Item {
    T value;
    std::size_t size;
    Place place;
  };
  std::size_t most_;
  std::uint64_t puts_ = 0, given_up_ = 0;
  std::map<std::string, Item> items_;
  std::set<Place> order_;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_SPREAD_QUEUE_H_
