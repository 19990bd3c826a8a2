#include "gateway/partial_query_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <variant>

namespace pumicedyke::gateway {
namespace {

ArrivedPartialQuery MakeQuery(uint64_t session, uint64_t id, uint32_t priority) {
  wire::PartialQuery query;
  query.id = id;
  query.priority = priority;
  return {session, {"test", 1, query}, Timestamp(Seconds(1))};
}

uint64_t IdOf(const std::optional<ArrivedPartialQuery>& query) {
  return std::get<wire::PartialQuery>(query->envelope.body).id;
}

}  // namespace

class PartialQueryQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PartialQueryQueueTest);
  CPPUNIT_TEST(MostUrgentIsTakenFirst);
  CPPUNIT_TEST(EqualPrioritiesAreTakenInReadingOrder);
  CPPUNIT_TEST(CancelledQueriesAreRemoved);
  CPPUNIT_TEST(ClosingASessionRemovesItsQueries);
  CPPUNIT_TEST(OtherMessagesAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// A burst of queries with the lowest priority was read before one urgent query.
  void MostUrgentIsTakenFirst() {
    PartialQueryQueue queue;
    for (uint64_t id = 1; id <= 50; ++id) {
      ArrivedPartialQuery query = MakeQuery(1, id, 5);
      CPPUNIT_ASSERT(queue.Add(&query));
    }
    ArrivedPartialQuery urgent = MakeQuery(2, 51, 0);
    CPPUNIT_ASSERT(queue.Add(&urgent));
    CPPUNIT_ASSERT_EQUAL(uint64_t{51}, IdOf(queue.Take()));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, IdOf(queue.Take()));
  }

  void EqualPrioritiesAreTakenInReadingOrder() {
    PartialQueryQueue queue;
    for (const uint64_t id : {3, 1, 2}) {
      ArrivedPartialQuery query = MakeQuery(id, id, 1);
      queue.Add(&query);
    }
    for (const uint64_t id : {3, 1, 2}) {
      CPPUNIT_ASSERT_EQUAL(id, IdOf(queue.Take()));
    }
    CPPUNIT_ASSERT(!queue.Take().has_value());
  }

  void CancelledQueriesAreRemoved() {
    PartialQueryQueue queue;
    ArrivedPartialQuery query = MakeQuery(1, 7, 1);
    queue.Add(&query);
    CPPUNIT_ASSERT(!queue.Cancel(2, 7));
    CPPUNIT_ASSERT(queue.Cancel(1, 7));
    CPPUNIT_ASSERT(!queue.Cancel(1, 7));
    CPPUNIT_ASSERT(!queue.Take().has_value());
  }

  void ClosingASessionRemovesItsQueries() {
    PartialQueryQueue queue;
    for (const uint64_t session : {1, 2}) {
      ArrivedPartialQuery query = MakeQuery(session, session, 1);
      queue.Add(&query);
    }
    queue.CloseSession(1);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, IdOf(queue.Take()));
    CPPUNIT_ASSERT(!queue.Take().has_value());
  }

  void OtherMessagesAreRejected() {
    PartialQueryQueue queue;
    ArrivedPartialQuery cancel{1, {"test", 1, wire::PartialCancel{7, true}}, {}};
    CPPUNIT_ASSERT(!queue.Add(&cancel));
    CPPUNIT_ASSERT(std::holds_alternative<wire::PartialCancel>(cancel.envelope.body));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartialQueryQueueTest);

}  // namespace pumicedyke::gateway
