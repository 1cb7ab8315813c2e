package walkpost.fleet.member;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** What members say to each other about who lives. Unknown fields are passed over. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
public interface MemberMessage { }
