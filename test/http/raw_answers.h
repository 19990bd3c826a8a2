// Answers of peers as they stand on the wire, byte by byte, broken and sound ones.
#pragma once

#include <string>
#include <vector>

namespace pumicedyke::http {

struct RawAnswer {
  std::string name;
  /// Ends with an empty line.
  std::string head;
  std::string body;
  /// Whether the peer closes the connection after the body.
  bool closes = false;
};

/// What answers have in common.
struct AnswerParts {
  /// Header lines that each head contains, each with its end of line.
  std::string lines;
  std::string body;
};

/// Answers whose status is not that of any response.
std::vector<RawAnswer> OddStatuses(const AnswerParts& parts);

/// Answers of whose head a line begins with a blank, which continues the line before it.
std::vector<RawAnswer> FoldedHeads(const AnswerParts& parts);

/// Answers whose body is coded in a way that no request allows.
std::vector<RawAnswer> UnknownCodings(const AnswerParts& parts);

/// Answers whose head is no head of HTTP/1.1.
std::vector<RawAnswer> MalformedHeads(const AnswerParts& parts);

/// All answers whose head says that they must never be passed on or used.
std::vector<RawAnswer> BrokenHeads(const AnswerParts& parts);

/// Answers in chunks with a sound head, whose chunks or trailers are broken.
std::vector<RawAnswer> BrokenBodies(const AnswerParts& parts);

/// Unusual answers that are sound, with the status 200 and the whole body.
std::vector<RawAnswer> SoundAnswers(const AnswerParts& parts);

}  // namespace pumicedyke::http
