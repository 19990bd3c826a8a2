#include "http/raw_answers.h"

#include "absl/strings/str_cat.h"

namespace pumicedyke::http {
namespace {

constexpr char kOk[] = "HTTP/1.1 200 OK\r\n";

std::string LengthOf(const AnswerParts& parts) {
  return "Content-Length: " + std::to_string(parts.body.size()) + "\r\n";
}

/// An answer with a length, and a status line of its own.
RawAnswer WithStatusLine(const std::string& line, const AnswerParts& parts) {
  return {line, line + "\r\n" + parts.lines + LengthOf(parts) + "\r\n", parts.body};
}

/// An answer with a length, and one more line.
RawAnswer WithLine(const std::string& line, const AnswerParts& parts) {
  return {line, kOk + parts.lines + line + "\r\n" + LengthOf(parts) + "\r\n", parts.body};
}

std::string InOneChunk(const std::string& body) {
  constexpr char kDigits[] = "0123456789abcdef";
  constexpr size_t kBase = 16;
  std::string size;
  for (size_t rest = body.size(); rest > 0; rest /= kBase) {
    size.insert(size.begin(), kDigits[rest % kBase]);
  }
  return size + "\r\n" + body + "\r\n0\r\n\r\n";
}

}  // namespace

std::vector<RawAnswer> OddStatuses(const AnswerParts& parts) {
  std::vector<RawAnswer> answers;
  for (const char* status : {"600", "999", "000", "001", "099", "101"}) {
    answers.push_back(WithStatusLine("HTTP/1.1 " + std::string(status) + " Odd", parts));
  }
  answers.push_back({"an upgrade",
                     "HTTP/1.1 101 Switching Protocols\r\n" + parts.lines +
                         "Connection: upgrade\r\nUpgrade: other\r\n\r\n",
                     parts.body});
  return answers;
}

std::vector<RawAnswer> FoldedHeads(const AnswerParts& parts) {
  const std::string length = LengthOf(parts) + "\r\n";
  const std::string start = kOk + parts.lines;
  const std::string folded_length =
      "Content-Length:\r\n " + std::to_string(parts.body.size()) + "\r\n\r\n";
  return {
      {"a blank before a name", start + " X-Odd: 1\r\n" + length, parts.body},
      {"a tab before a name", start + "\tX-Odd: 1\r\n" + length, parts.body},
      {"a line of a blank", start + " \r\n" + length, parts.body},
      {"a line of a blank at the end of the head",
       start + "Content-Length: " + std::to_string(parts.body.size()) + "\r\n \r\n\r\n",
       parts.body},
      {"a value on the next line", start + "X-Odd:\r\n 1\r\n" + length, parts.body},
      {"a value on three lines", start + "X-Odd: 1\r\n 2\r\n\t3\r\n" + length, parts.body},
      {"a folded length", start + folded_length, parts.body},
      {"a folded coding", start + "Transfer-Encoding:\r\n\tchunked\r\n\r\n",
       InOneChunk(parts.body)},
      {"a folded line after 100",
       "HTTP/1.1 100 Continue\r\nX-Odd: 1\r\n 2\r\n\r\n" + start + length, parts.body},
  };
}

std::vector<RawAnswer> UnknownCodings(const AnswerParts& parts) {
  const std::string start = kOk + parts.lines;
  const std::string coding = "Transfer-Encoding: ";
  const std::string chunked = coding + "chunked\r\n";
  const std::string gzip = coding + "gzip\r\n";
  const std::string chunks = InOneChunk(parts.body);
  std::vector<RawAnswer> answers = {
      {"gzip beside a length", start + gzip + LengthOf(parts) + "\r\n", parts.body},
      {"gzip and chunked on two lines", start + gzip + chunked + "\r\n", chunks},
      {"chunked and gzip on two lines", start + chunked + gzip + "\r\n", chunks},
  };
  for (const std::string value :
       {"gzip, chunked", "chunked, gzip", "gzip", "deflate,gzip", "odd", "identity", "chunked;q=1",
        "chunked odd", "chunked\t\tchunked", "", ","}) {
    const bool in_chunks = value.ends_with(", chunked");
    answers.push_back({absl::StrCat("coding '", value, "'"),
                       absl::StrCat(start, coding, value, "\r\n\r\n"),
                       in_chunks ? chunks : parts.body, /*closes=*/!in_chunks});
  }
  return answers;
}

std::vector<RawAnswer> MalformedHeads(const AnswerParts& parts) {
  std::vector<RawAnswer> answers;
  for (const std::string line :
       {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK",
        "HTTP/1.1 -20 OK", "HTTP/0.9 200 OK", "HTTP/1.7 200 OK", "HTTP/2.0 200 OK",
        "http/1.1 200 OK", "ICY 200 OK", "RTSP/1.0 200 OK", "HTTP/1.1 200 O\x1bK",
        "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK"}) {
    answers.push_back(WithStatusLine(line, parts));
  }
  for (const std::string& line : {std::string("X Odd: 1"),
                                  std::string("X-Odd : 1"),
                                  std::string("X-Odd\t: 1"),
                                  std::string(": 1"),
                                  std::string("X-Odd"),
                                  std::string("X-\x01Odd: 1"),
                                  std::string("X-Odd\x7f: 1"),
                                  std::string("X-\0Odd: 1", 9),
                                  std::string("X-\xc3\xa9: 1"),
                                  std::string("X-\rOdd: 1"),
                                  std::string("X-\nOdd: 1"),
                                  std::string("X-(Odd): 1"),
                                  std::string("X-Odd: \x01"),
                                  std::string("X-Odd: \x7f"),
                                  std::string("X-Odd: a\rb"),
                                  std::string("X-Odd: a\0b", 10),
                                  std::string("X-Odd: a\nb"),
                                  std::string("Content-Length: 1"),
                                  std::string("Content-Length: -1"),
                                  std::string("Content-Length: 0x10"),
                                  std::string("Content-Length: "),
                                  std::string("Content-Length: 99999999999999999999"),
                                  std::string("Transfer-Encoding: chunked")}) {
    answers.push_back(WithLine(line, parts));
  }
  const std::string start = kOk + parts.lines;
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  answers.push_back({"a blank before the first name",
                     std::string(kOk) + " X-Odd: 1\r\n" + parts.lines + LengthOf(parts) + "\r\n",
                     parts.body});
  answers.push_back({"chunked twice", start + chunked + chunked + "\r\n", InOneChunk(parts.body)});
  answers.push_back({"a broken name after 100",
                     "HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\n" + start + LengthOf(parts) + "\r\n",
                     parts.body});
  return answers;
}

std::vector<RawAnswer> BrokenHeads(const AnswerParts& parts) {
  std::vector<RawAnswer> answers;
  for (const auto& kind :
       {OddStatuses(parts), FoldedHeads(parts), UnknownCodings(parts), MalformedHeads(parts)}) {
    answers.insert(answers.end(), kind.begin(), kind.end());
  }
  return answers;
}

std::vector<RawAnswer> BrokenBodies(const AnswerParts& parts) {
  const std::string head = kOk + parts.lines + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = InOneChunk(parts.body);
  const std::string without_end = chunk.substr(0, chunk.size() - 2);
  return {
      {"a blank before a trailer", head, without_end + "X-Sum: 1\r\n X-Odd: 1\r\n\r\n"},
      {"a tab before a trailer", head, without_end + "X-Sum: 1\r\n\tX-Odd: 1\r\n\r\n"},
      {"a trailer's value on the next line", head, without_end + "X-Sum:\r\n 1\r\n\r\n"},
      {"a folded trailer after no chunk", head, "0\r\nX-Sum: 1\r\n 2\r\n\r\n"},
      {"a blank in a trailer's name", head, without_end + "X Sum: 1\r\n\r\n"},
      {"a control byte in a trailer's name", head, without_end + "X-\x01Sum: 1\r\n\r\n"},
      {"a control byte in a trailer's value", head, without_end + "X-Sum: \x01\r\n\r\n"},
      {"a length in a trailer", head, without_end + "Content-Length: 3\r\n\r\n"},
      {"a negative size", head, "-1\r\n" + chunk},
      {"a size with a prefix", head, "0x" + chunk},
      {"a size that is none", head, "odd\r\n" + chunk},
      {"no size", head, "\r\n" + chunk},
      {"a chunk longer than its size", head, "1\r\n" + parts.body + "\r\n0\r\n\r\n"},
  };
}

std::vector<RawAnswer> SoundAnswers(const AnswerParts& parts) {
  const std::string rest = parts.lines + LengthOf(parts) + "\r\n";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  return {
      {"after 100", interim + kOk + rest, parts.body},
      {"after 103", hints + kOk + rest, parts.body},
      {"after 100, 102, 103, 199",
       interim + "HTTP/1.1 102 Processing\r\n\r\n" + hints + "HTTP/1.1 199 Other\r\n\r\n" + kOk +
           rest,
       parts.body},
      {"no reason", "HTTP/1.1 200 \r\n" + rest, parts.body},
      {"bytes over 0x7f in a value", std::string(kOk) + "X-Odd: \xe9\r\n" + rest, parts.body},
      {"tabs and blanks in and around a value", std::string(kOk) + "X-Odd: \t a \tb \t\r\n" + rest,
       parts.body},
      {"an empty value", std::string(kOk) + "X-Odd:\r\n" + rest, parts.body},
      {"in chunks", std::string(kOk) + parts.lines + "Transfer-Encoding: chunked\r\n\r\n",
       InOneChunk(parts.body)},
      {"in chunks, other case",
       std::string(kOk) + parts.lines + "TRANSFER-encoding:\tChunKed \r\n\r\n",
       InOneChunk(parts.body)},
      {"in chunks, with empty items in the list",
       std::string(kOk) + parts.lines + "Transfer-Encoding: ,, chunked ,\r\n\r\n",
       InOneChunk(parts.body)},
  };
}

}  // namespace pumicedyke::http
