#include "gateway/question_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <variant>

namespace pumicedyke::gateway {
namespace {

ArrivedQuestion Question(uint64_t session, uint64_t id, uint32_t priority) {
  wire::PartialQuery query;
  query.id = id;
  query.priority = priority;
  return {session, {"test", 1, query}, Timestamp(Seconds(1))};
}

uint64_t IdOf(const std::optional<ArrivedQuestion>& question) {
  return std::get<wire::PartialQuery>(question->envelope.body).id;
}

}  // namespace

class QuestionQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuestionQueueTest);
  CPPUNIT_TEST(UrgentOnesComeFirst);
  CPPUNIT_TEST(EqualOnesComeAsTheyWereRead);
  CPPUNIT_TEST(CancelledOnesAreGone);
  CPPUNIT_TEST(SessionsThatEndTakeTheirsAlong);
  CPPUNIT_TEST(OtherWordsAreNotForIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// A burst of the least urgent kind was read before one urgent question.
  void UrgentOnesComeFirst() {
    QuestionQueue queue;
    for (uint64_t id = 1; id <= 50; ++id) {
      ArrivedQuestion question = Question(1, id, 5);
      CPPUNIT_ASSERT(queue.Add(&question));
    }
    ArrivedQuestion urgent = Question(2, 51, 0);
    CPPUNIT_ASSERT(queue.Add(&urgent));
    CPPUNIT_ASSERT_EQUAL(uint64_t{51}, IdOf(queue.Take()));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, IdOf(queue.Take()));
  }

  void EqualOnesComeAsTheyWereRead() {
    QuestionQueue queue;
    for (const uint64_t id : {3, 1, 2}) {
      ArrivedQuestion question = Question(id, id, 1);
      queue.Add(&question);
    }
    for (const uint64_t id : {3, 1, 2}) {
      CPPUNIT_ASSERT_EQUAL(id, IdOf(queue.Take()));
    }
    CPPUNIT_ASSERT(!queue.Take().has_value());
  }

  void CancelledOnesAreGone() {
    QuestionQueue queue;
    ArrivedQuestion question = Question(1, 7, 1);
    queue.Add(&question);
    CPPUNIT_ASSERT(!queue.Cancel(2, 7));
    CPPUNIT_ASSERT(queue.Cancel(1, 7));
    CPPUNIT_ASSERT(!queue.Cancel(1, 7));
    CPPUNIT_ASSERT(!queue.Take().has_value());
  }

  void SessionsThatEndTakeTheirsAlong() {
    QuestionQueue queue;
    for (const uint64_t session : {1, 2}) {
      ArrivedQuestion question = Question(session, session, 1);
      queue.Add(&question);
    }
    queue.CloseSession(1);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, IdOf(queue.Take()));
    CPPUNIT_ASSERT(!queue.Take().has_value());
  }

  void OtherWordsAreNotForIt() {
    QuestionQueue queue;
    ArrivedQuestion cancel{1, {"test", 1, wire::PartialCancel{7, true}}, {}};
    CPPUNIT_ASSERT(!queue.Add(&cancel));
    CPPUNIT_ASSERT(std::holds_alternative<wire::PartialCancel>(cancel.envelope.body));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuestionQueueTest);

}  // namespace pumicedyke::gateway
