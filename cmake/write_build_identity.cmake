# Writes OUTPUT, a source that names the commit that SOURCE is built from. Runs at each build; the file
# changes only if the name does. Trees that are no git checkout of their own are built as "unknown".
execute_process(COMMAND git -C ${SOURCE} rev-parse --show-toplevel
  OUTPUT_VARIABLE top OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET RESULT_VARIABLE failed)
set(identity unknown)
file(REAL_PATH ${SOURCE} real_source)
if(NOT failed AND top STREQUAL real_source)
  execute_process(
    COMMAND git --no-optional-locks -C ${SOURCE} describe --always --dirty --abbrev=12 --exclude=*
    OUTPUT_VARIABLE described OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET RESULT_VARIABLE failed)
  if(NOT failed)
    set(identity ${described})
  endif()
endif()
set(text "#include \"common/build_identity.h\"

namespace pumicedyke {

const char* BuildIdentity() { return \"${identity}\"; }

}  // namespace pumicedyke
")
set(written "")
if(EXISTS ${OUTPUT})
  file(READ ${OUTPUT} written)
endif()
if(NOT written STREQUAL text)
  file(WRITE ${OUTPUT} "${text}")
endif()
