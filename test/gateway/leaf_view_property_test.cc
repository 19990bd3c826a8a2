// Random histories of reports and commits. The view, which evaluates only changed leafs, must equal
// the result of evaluating all leafs from scratch.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "gateway/leaf_view.h"

namespace pumicedyke::gateway {
namespace {

constexpr Duration kUnconfirmedTimeout = Seconds(8);
constexpr int kLeafs = 6;
constexpr int kAddresses = 3;

/// State reported by one control machine.
struct Source {
  uint64_t version = 0;
  std::map<std::string, wire::LeafRecord> records;
  std::map<std::string, wire::LeafRecord> unconfirmed;
  Timestamp unconfirmed_until{};
};

class History {
 public:
  History() : view_({.unconfirmed_timeout = kUnconfirmedTimeout}, &committed_) {}

  void Step() {
    now_ += Milliseconds(*rc::gen::element(0, 50, 1000, 9000));
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
        Feed(/*full=*/true);
        break;
      case 1:
      case 2:
        Feed(/*full=*/false);
        break;
      case 3:
        Commit(config::ChangeKind::kReportLeafs);
        break;
      case 4:
        Commit(config::ChangeKind::kForgetLeafs);
        break;
      case 5:
        Retire();
        break;
      default:
        Evacuate();
        break;
    }
    view_.Tick(now_);
    DropUnconfirmed();
    Check();
  }

 private:
  static std::string AnyLeaf() { return "leaf" + std::to_string(*rc::gen::inRange(0, kLeafs)); }

  /// A leaf never changes its address and zone; two leafs may have the same address.
  static wire::LeafRecord Record(const std::string& leaf) {
    const int number = leaf.back() - '0';
    return {leaf,
            "desk",
            "10.0.0." + std::to_string(number % kAddresses) + ":80",
            number % 2 == 0 ? "north" : "south",
            2,
            *rc::gen::inRange(0, 4) == 0,
            0};
  }

  void Feed(bool full) {
    const std::string name = *rc::gen::element<std::string>("c1", "c2");
    Source& source = sources_[name];
    wire::LeafFeed feed;
    full |= source.version == 0;
    feed.from_version = full ? 0 : source.version;
    feed.version = ++source.version;
    if (full) {
      source.unconfirmed.merge(source.records);
      source.unconfirmed_until = now_ + kUnconfirmedTimeout;
      source.records.clear();
    }
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
      const wire::LeafRecord record = Record(AnyLeaf());
      feed.records.push_back(record);
      source.records[record.leaf] = record;
      source.unconfirmed.erase(record.leaf);
    }
    if (!full && *rc::gen::inRange(0, 2) == 0) {
      const std::string removed = AnyLeaf();
      feed.removed.push_back(removed);
      source.records.erase(removed);
      source.unconfirmed.erase(removed);
    }
    RC_ASSERT(view_.OnFeed(now_, name, feed));
  }

  void Commit(config::ChangeKind kind) {
    const wire::LeafRecord record = Record(AnyLeaf());
    config::Change change;
    change.kind = kind;
    change.reported = {{record.leaf, record.service, record.address, record.zone, 2, 1}};
    committed_.Apply(change);
    NotifyView(record.leaf);
  }

  void Retire() {
    config::Change change;
    change.kind = config::ChangeKind::kRetireLeaf;
    change.leaf = AnyLeaf();
    committed_.Apply(change);
    NotifyView(change.leaf);
  }

  void NotifyView(const std::string& leaf) {
    if (*rc::gen::inRange(0, 4) == 0) {
      view_.OnCommittedReset(now_);
    } else {
      view_.OnCommitted(now_, {leaf});
    }
  }

  void Evacuate() {
    evacuated_ = *rc::gen::element(std::set<std::string>{}, std::set<std::string>{"south"});
    view_.SetEvacuated(now_, evacuated_);
  }

  void DropUnconfirmed() {
    for (auto& [name, source] : sources_) {
      if (now_ >= source.unconfirmed_until) {
        source.unconfirmed.clear();
      }
    }
  }

  /// Combines all reports on all leafs from scratch.
  std::map<std::string, wire::LeafRecord> Expected() const {
    std::map<std::string, wire::LeafRecord> leafs;
    std::set<std::string> reporting;
    for (const auto& [id, leaf] : committed_.reported()) {
      leafs[id] = {id, leaf.service, leaf.address, leaf.zone, leaf.slots, false, 0};
    }
    for (const auto& [name, source] : sources_) {
      for (const auto* records : {&source.records, &source.unconfirmed}) {
        for (const auto& [id, record] : *records) {
          leafs.emplace(id, record).first->second.draining |= record.draining;
          reporting.insert(id);
        }
      }
    }
    std::set<std::string> used_addresses;
    for (auto& [id, record] : leafs) {
      record.draining |= committed_.retired().contains(id);
      if (reporting.contains(id)) {
        used_addresses.insert(record.address);
      }
    }
    std::erase_if(leafs, [&](const auto& item) {
      return !reporting.contains(item.first) && used_addresses.contains(item.second.address);
    });
    return leafs;
  }

  void Check() {
    const std::map<std::string, wire::LeafRecord> expected = Expected();
    RC_ASSERT(view_.leafs() == expected);
    std::vector<std::string> usable;
    for (const auto& [id, record] : expected) {
      if (!record.draining && !evacuated_.contains(record.zone)) {
        usable.push_back(id);
      }
    }
    RC_ASSERT(view_.UsableLeafs("desk") == usable);
    RC_ASSERT(view_.usable_count() == usable.size());
    // Applying the reported changes yields the same leafs.
    for (const LeafChange& change : view_.TakeChanges()) {
      const auto known = view_.leafs().find(change.leaf);
      if (known == view_.leafs().end()) {
        followed_.erase(change.leaf);
      } else {
        followed_[change.leaf] = known->second;
      }
    }
    RC_ASSERT(followed_ == expected);
  }

  Timestamp now_{Seconds(100)};
  config::ConfigState committed_;
  std::map<std::string, Source> sources_;
  std::set<std::string> evacuated_;
  std::map<std::string, wire::LeafRecord> followed_;
  LeafView view_;
};

}  // namespace

class LeafViewPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeafViewPropertyTest);
  CPPUNIT_TEST(IncrementalEvaluationEqualsFullEvaluation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IncrementalEvaluationEqualsFullEvaluation() {
    CPPUNIT_ASSERT(rc::check("leaf view", [] {
      History history;
      const int steps = *rc::gen::inRange(1, 40);
      for (int i = 0; i < steps; ++i) {
        history.Step();
      }
    }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeafViewPropertyTest);

}  // namespace pumicedyke::gateway
